#pragma once

#include "mulberryramp/core/identifier.hpp"

#include <utility>
#include <vector>

namespace mulberryramp {

/// @brief Dense storage of rows keyed by versioned identifiers.
/// @tparam Value Type of the row.
///
/// Rows lie side by side; removal moves the last row into the gap, so the
/// order of rows follows from the history of calls alone. References to rows
/// end with the next insertion or removal.
template <typename Value> class Table {
public:
  using Id = Identifier<Value>;

  /// @brief Adds a row.
  /// @param Row The row.
  /// @return Its identifier.
  Id insert(Value Row) {
    if (Free.empty()) {
      Free.push_back(static_cast<std::uint32_t>(Slots.size()));
      Slots.push_back({});
    }
    const std::uint32_t Slot = Free.back();
    Free.pop_back();
    Slots[Slot].Version += 1;
    Slots[Slot].Position = static_cast<std::uint32_t>(Rows.size());
    Slots[Slot].Live = true;
    Rows.push_back(std::move(Row));
    Ids.push_back({Slot, Slots[Slot].Version});
    return Ids.back();
  }

  /// @brief Removes a row; does nothing if the identifier names none.
  /// @param Row The identifier.
  void erase(Id Row) {
    if (!contains(Row)) {
      return;
    }
    const std::uint32_t Position = Slots[Row.Slot].Position;
    Rows[Position] = std::move(Rows.back());
    Ids[Position] = Ids.back();
    Slots[Ids[Position].Slot].Position = Position;
    Slots[Row.Slot].Live = false;
    Rows.pop_back();
    Ids.pop_back();
    Free.push_back(Row.Slot);
  }

  /// @brief Tells whether an identifier names a row.
  /// @param Row The identifier.
  /// @return True if the row is there.
  [[nodiscard]] bool contains(Id Row) const noexcept {
    return Row.Slot < Slots.size() && Slots[Row.Slot].Live &&
           Slots[Row.Slot].Version == Row.Version;
  }

  /// @brief Finds a row.
  /// @param Row The identifier.
  /// @return The row, or null if there is none.
  [[nodiscard]] Value *find(Id Row) noexcept {
    return contains(Row) ? &Rows[Slots[Row.Slot].Position] : nullptr;
  }

  /// @copydoc find
  [[nodiscard]] const Value *find(Id Row) const noexcept {
    return contains(Row) ? &Rows[Slots[Row.Slot].Position] : nullptr;
  }

  /// @brief Reads a row; undefined if the identifier names none.
  /// @param Row The identifier.
  /// @return The row.
  [[nodiscard]] Value &operator[](Id Row) noexcept {
    return Rows[Slots[Row.Slot].Position];
  }

  /// @copydoc operator[]
  [[nodiscard]] const Value &operator[](Id Row) const noexcept {
    return Rows[Slots[Row.Slot].Position];
  }

  /// @brief Lists the identifiers, in the order of the rows.
  /// @return The identifiers.
  [[nodiscard]] const std::vector<Id> &ids() const noexcept { return Ids; }

  /// @brief Lists the rows.
  /// @return The rows, side by side.
  [[nodiscard]] const std::vector<Value> &rows() const noexcept { return Rows; }

  /// @brief Counts the rows.
  /// @return The number of rows.
  [[nodiscard]] std::size_t size() const noexcept { return Rows.size(); }

  static constexpr auto fields() {
    return std::make_tuple(&Table::Slots, &Table::Free, &Table::Ids,
                           &Table::Rows);
  }

private:
  struct Place {
    std::uint32_t Version = 0;
    std::uint32_t Position = 0;
    bool Live = false;

    static constexpr auto fields() {
      return std::make_tuple(&Place::Version, &Place::Position, &Place::Live);
    }
  };

  std::vector<Place> Slots;
  std::vector<std::uint32_t> Free;
  std::vector<Id> Ids;
  std::vector<Value> Rows;
};

} // namespace mulberryramp
