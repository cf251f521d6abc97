#pragma once

#include "mulberryramp/core/identifier.hpp"

#include <utility>
#include <vector>

namespace mulberryramp {

/// @brief Dense storage of rows with versioned identifiers (a sparse set).
/// @tparam Value Type of the row.
///
/// Rows are contiguous; `erase` moves the last row into the gap, so the order
/// of rows depends only on the sequence of calls. `insert` and `erase`
/// invalidate references to rows.
template <typename Value> class Table {
public:
  using Id = Identifier<Value>;

  /// @brief Adds a row; reuses the slot that was freed last.
  /// @return Its identifier.
  Id insert(Value Row) {
    if (FreeSlots.empty()) {
      FreeSlots.push_back(static_cast<std::uint32_t>(Slots.size()));
      Slots.push_back({});
    }
    const std::uint32_t Slot = FreeSlots.back();
    FreeSlots.pop_back();
    Slots[Slot].Version += 1;
    Slots[Slot].Position = static_cast<std::uint32_t>(Rows.size());
    Slots[Slot].IsLive = true;
    Rows.push_back(std::move(Row));
    Ids.push_back({Slot, Slots[Slot].Version});
    return Ids.back();
  }

  /// @brief Removes a row; has no effect if it does not exist.
  /// @param RowId The identifier.
  void erase(Id RowId) {
    if (!contains(RowId)) {
      return;
    }
    const std::uint32_t Position = Slots[RowId.Slot].Position;
    Rows[Position] = std::move(Rows.back());
    Ids[Position] = Ids.back();
    Slots[Ids[Position].Slot].Position = Position;
    Slots[RowId.Slot].IsLive = false;
    Rows.pop_back();
    Ids.pop_back();
    FreeSlots.push_back(RowId.Slot);
  }

  /// @brief Tells whether the row of an identifier exists.
  [[nodiscard]] bool contains(Id RowId) const noexcept {
    return RowId.Slot < Slots.size() && Slots[RowId.Slot].IsLive &&
           Slots[RowId.Slot].Version == RowId.Version;
  }

  /// @brief Finds the row of an identifier.
  /// @return The row, or null if it does not exist.
  [[nodiscard]] Value *find(Id RowId) noexcept {
    return contains(RowId) ? &Rows[Slots[RowId.Slot].Position] : nullptr;
  }

  /// @copydoc find
  [[nodiscard]] const Value *find(Id RowId) const noexcept {
    return contains(RowId) ? &Rows[Slots[RowId.Slot].Position] : nullptr;
  }

  /// @brief Returns the row of an identifier; undefined if it does not exist.
  [[nodiscard]] Value &operator[](Id RowId) noexcept {
    return Rows[Slots[RowId.Slot].Position];
  }

  /// @copydoc operator[]
  [[nodiscard]] const Value &operator[](Id RowId) const noexcept {
    return Rows[Slots[RowId.Slot].Position];
  }

  /// @brief Returns the identifiers, in the order of `rows`.
  [[nodiscard]] const std::vector<Id> &ids() const noexcept { return Ids; }

  /// @brief Returns the rows, in contiguous storage.
  [[nodiscard]] const std::vector<Value> &rows() const noexcept { return Rows; }

  [[nodiscard]] std::size_t size() const noexcept { return Rows.size(); }

  static constexpr auto fields() {
    return std::make_tuple(&Table::Slots, &Table::FreeSlots, &Table::Ids,
                           &Table::Rows);
  }

private:
  struct SlotEntry {
    std::uint32_t Version = 0;
    std::uint32_t Position = 0;
    bool IsLive = false;

    static constexpr auto fields() {
      return std::make_tuple(&SlotEntry::Version, &SlotEntry::Position,
                             &SlotEntry::IsLive);
    }
  };

  std::vector<SlotEntry> Slots;
  std::vector<std::uint32_t> FreeSlots;
  std::vector<Id> Ids;
  std::vector<Value> Rows;
};

} // namespace mulberryramp
