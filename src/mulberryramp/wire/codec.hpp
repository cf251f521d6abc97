#pragma once

#include "mulberryramp/core/names.hpp"
#include "mulberryramp/core/shared_bytes.hpp"
#include "mulberryramp/wire/fwd.hpp"

#include <msgpack.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace mulberryramp {

/// @brief Reason why bytes could not be decoded.
struct CodecError {
  std::string Text;
};

namespace internal {

/// Maximum nesting of a decoded value; bounds the recursion on untrusted input.
inline constexpr std::size_t MaxCodecDepth = 16;

template <typename T>
concept HasFields = requires {
  T::fields();
};

/// Number of leading fields that an encoded struct must have. A struct that
/// gained fields since its first release keeps the former number, so that
/// records which an older build has stored are still read.
template <typename T> consteval std::size_t mandatoryFieldCount() {
  if constexpr (requires { T::MandatoryFields; }) {
    return T::MandatoryFields;
  } else {
    return std::tuple_size_v<decltype(T::fields())>;
  }
}

template <typename T>
concept NamedEnum = std::is_enum_v<T> && requires(T Value) {
  nameTable(Value);
};

template <typename T> struct IsVector : std::false_type {};
template <typename T> struct IsVector<std::vector<T>> : std::true_type {};
template <typename T> struct IsOptional : std::false_type {};
template <typename T> struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T> struct IsVariant : std::false_type {};
template <typename... T>
struct IsVariant<std::variant<T...>> : std::true_type {};
template <typename T> struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};
template <typename T> struct IsTimePoint : std::false_type {};
template <typename C, typename D>
struct IsTimePoint<std::chrono::time_point<C, D>> : std::true_type {};

/// Output of the packer that appends to a string, which saves a copy.
struct StringBuffer {
  std::string &Bytes;

  void write(const char *Data, std::size_t Size) { Bytes.append(Data, Size); }
};

using Packer = msgpack::packer<StringBuffer>;

template <typename T> void packValue(Packer &Out, const T &Value) {
  if constexpr (NamedEnum<T>) {
    Out.pack(static_cast<std::uint8_t>(Value));
  } else if constexpr (std::is_same_v<T, SharedBytes>) {
    Out.pack(Value.str());
  } else if constexpr (IsDuration<T>::value) {
    Out.pack(static_cast<std::int64_t>(Value.count()));
  } else if constexpr (IsTimePoint<T>::value) {
    Out.pack(static_cast<std::int64_t>(Value.time_since_epoch().count()));
  } else if constexpr (IsVector<T>::value) {
    Out.pack_array(static_cast<std::uint32_t>(Value.size()));
    for (const auto &Element : Value) {
      packValue(Out, Element);
    }
  } else if constexpr (IsOptional<T>::value) {
    Out.pack_array(Value ? 1 : 0);
    if (Value) {
      packValue(Out, *Value);
    }
  } else if constexpr (IsVariant<T>::value) {
    Out.pack_array(2);
    Out.pack(static_cast<std::uint8_t>(Value.index()));
    std::visit([&Out](const auto &Alternative) { packValue(Out, Alternative); },
               Value);
  } else if constexpr (HasFields<T>) {
    std::apply(
        [&](auto... Field) {
          Out.pack_array(sizeof...(Field));
          (packValue(Out, Value.*Field), ...);
        },
        T::fields());
  } else {
    Out.pack(Value);
  }
}

inline const msgpack::object_array &arrayOf(const msgpack::object &Source) {
  if (Source.type != msgpack::type::ARRAY) {
    throw msgpack::type_error{};
  }
  return Source.via.array;
}

template <typename T> void unpackValue(const msgpack::object &Source, T &Value);

template <typename Variant, std::size_t Index = 0>
void unpackVariant(std::size_t TargetIndex, const msgpack::object &Source,
                   Variant &Value) {
  if constexpr (Index < std::variant_size_v<Variant>) {
    if (TargetIndex == Index) {
      unpackValue(Source, Value.template emplace<Index>());
      return;
    }
    unpackVariant<Variant, Index + 1>(TargetIndex, Source, Value);
  } else {
    throw msgpack::type_error{};
  }
}

template <typename T>
void unpackFields(const msgpack::object_array &Elements, T &Value) {
  std::apply(
      [&](auto... Field) {
        if (Elements.size < mandatoryFieldCount<T>() ||
            Elements.size > sizeof...(Field)) {
          throw msgpack::type_error{};
        }
        std::size_t Index = 0;
        [[maybe_unused]] const auto UnpackNext = [&](auto &Member) {
          if (Index < Elements.size) {
            unpackValue(Elements.ptr[Index], Member);
          }
          Index += 1;
        };
        (UnpackNext(Value.*Field), ...);
      },
      T::fields());
}

template <typename T>
void unpackValue(const msgpack::object &Source, T &Value) {
  if constexpr (NamedEnum<T>) {
    const auto Raw = Source.as<std::uint8_t>();
    if (Raw >= enumeratorCount<T>()) {
      throw msgpack::type_error{};
    }
    Value = static_cast<T>(Raw);
  } else if constexpr (std::is_same_v<T, SharedBytes>) {
    Value = SharedBytes{Source.as<std::string>()};
  } else if constexpr (IsDuration<T>::value) {
    Value = T{Source.as<std::int64_t>()};
  } else if constexpr (IsTimePoint<T>::value) {
    Value = T{typename T::duration{Source.as<std::int64_t>()}};
  } else if constexpr (IsVector<T>::value) {
    const auto &Elements = arrayOf(Source);
    Value.clear();
    for (std::uint32_t Index = 0; Index < Elements.size; ++Index) {
      unpackValue(Elements.ptr[Index], Value.emplace_back());
    }
  } else if constexpr (IsOptional<T>::value) {
    const auto &Elements = arrayOf(Source);
    if (Elements.size > 1) {
      throw msgpack::type_error{};
    }
    Value.reset();
    if (Elements.size == 1) {
      unpackValue(Elements.ptr[0], Value.emplace());
    }
  } else if constexpr (IsVariant<T>::value) {
    const auto &Elements = arrayOf(Source);
    if (Elements.size != 2) {
      throw msgpack::type_error{};
    }
    unpackVariant(Elements.ptr[0].as<std::uint8_t>(), Elements.ptr[1], Value);
  } else if constexpr (HasFields<T>) {
    unpackFields(arrayOf(Source), Value);
  } else {
    Value = Source.as<T>();
  }
}

/// Strings of the unpacked value refer to the input instead of a copy.
inline bool refersToInput(msgpack::type::object_type /*Type*/,
                          std::size_t /*Size*/, void * /*User*/) {
  return true;
}

template <typename T>
tl::expected<T, CodecError> decodeWithin(std::string_view Bytes,
                                         std::size_t MaxElements) {
  try {
    std::size_t Offset = 0;
    const msgpack::unpack_limit Limit{MaxElements, 0,           MaxElements,
                                      MaxElements, MaxElements, MaxCodecDepth};
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size(), Offset,
                                        refersToInput, nullptr, Limit);
    if (Offset != Bytes.size()) {
      return tl::make_unexpected(CodecError{"trailing bytes after the value"});
    }
    T Value{};
    unpackValue(Handle.get(), Value);
    return Value;
  } catch (const std::exception &Error) {
    return tl::make_unexpected(
        CodecError{std::string{"malformed value: "} + Error.what()});
  }
}

} // namespace internal

/// @brief Appends the encoding of a value to a string; see `encode`.
template <typename T> void encodeTo(std::string &Bytes, const T &Value) {
  internal::StringBuffer Buffer{Bytes};
  internal::Packer Out{Buffer};
  internal::packValue(Out, Value);
}

/// @brief Encodes a value as msgpack.
/// @tparam T A number, string, duration, time point, enumeration with a name
/// table, or a vector, optional, variant or struct with `fields()` of such
/// types. A struct is an array of its fields without their names, so their
/// order is part of the format. Fields are only added at the end; those beyond
/// `T::MandatoryFields` keep their defaults if they are missing.
template <typename T> [[nodiscard]] std::string encode(const T &Value) {
  std::string Bytes;
  encodeTo(Bytes, Value);
  return Bytes;
}

/// @brief Decodes a value of another process from msgpack. The length of each
/// string and array is at most `MaxFrameBytes`.
/// @tparam T As for `encode`.
/// @param Bytes The encoded value, without trailing bytes.
/// @return The complete value, or an error if the bytes are malformed.
template <typename T>
[[nodiscard]] tl::expected<T, CodecError> decode(std::string_view Bytes) {
  return internal::decodeWithin<T>(Bytes, MaxFrameBytes);
}

/// @brief Decodes a value that this program has stored. It is bounded by the
/// length of the input only: state that could be written can be read back.
/// @tparam T As for `encode`.
/// @param Bytes The encoded value, without trailing bytes.
/// @return The complete value, or an error if the bytes are malformed.
template <typename T>
[[nodiscard]] tl::expected<T, CodecError> decodeStored(std::string_view Bytes) {
  return internal::decodeWithin<T>(Bytes, Bytes.size());
}

} // namespace mulberryramp
