#ifndef SEQUOIASTAGE_WIRE_BYTES_H_
#define SEQUOIASTAGE_WIRE_BYTES_H_

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiastage {

/// Largest number of items in a list of a message. Small items take more memory
/// than frame bytes, so the frame size limit alone does not bound them.
inline constexpr uint32_t kMaxListItems = 4096;

/// Loads a length-prefixed byte string. Grows the string in step with the input
/// actually available, so that a false length can't cause a large allocation.
/// Throws cereal::Exception when the input is truncated.
template <class Archive>
void LoadBytes(Archive& archive, std::string& bytes) {
  constexpr uint32_t kChunkBytes = 16 * 1024;
  uint32_t remaining = 0;
  archive(remaining);
  bytes.clear();
  while (remaining > 0) {
    const uint32_t chunk = std::min(remaining, kChunkBytes);
    const size_t offset = bytes.size();
    bytes.resize(offset + chunk);
    archive(cereal::binary_data(bytes.data() + offset, chunk));
    remaining -= chunk;
  }
}

/// Saves `bytes` in the format that LoadBytes() reads.
template <class Archive>
void SaveBytes(Archive& archive, const std::string& bytes) {
  archive(static_cast<uint32_t>(bytes.size()));
  archive(cereal::binary_data(bytes.data(), bytes.size()));
}

/// Saves a number as a variable-length integer: 7 bits per byte, least
/// significant group first.
template <class Archive>
void SaveVarint(Archive& archive, uint16_t value) {
  constexpr uint16_t kContinuationBit = 0x80;
  for (; value >= kContinuationBit; value >>= 7) {
    archive(static_cast<uint8_t>(value | kContinuationBit));
  }
  archive(static_cast<uint8_t>(value));
}

/// Loads a number saved by SaveVarint(). Throws cereal::Exception when it does
/// not fit into 16 bits or the input is truncated.
template <class Archive>
void LoadVarint(Archive& archive, uint16_t& value) {
  constexpr uint32_t kContinuationBit = 0x80;
  uint32_t number = 0;
  for (int shift = 0; shift <= 14; shift += 7) {
    uint8_t byte = 0;
    archive(byte);
    number |= (byte & (kContinuationBit - 1)) << shift;
    if ((byte & kContinuationBit) == 0 && number <= UINT16_MAX) {
      value = static_cast<uint16_t>(number);
      return;
    }
  }
  throw cereal::Exception("number is too large");
}

/// Loads a length-prefixed list item by item; like LoadBytes() it grows in step
/// with the input. Throws cereal::Exception above `max_items` or when the input
/// is truncated.
template <class Archive, class Item>
void LoadList(Archive& archive,
              std::vector<Item>& items,
              uint32_t max_items = kMaxListItems) {
  uint32_t count = 0;
  archive(count);
  if (count > max_items) {
    throw cereal::Exception("list is too long");
  }
  items.clear();
  for (uint32_t i = 0; i < count; ++i) {
    archive(items.emplace_back());
  }
}

/// Saves `items` in the format that LoadList() reads. Throws cereal::Exception
/// above `max_items`.
template <class Archive, class Item>
void SaveList(Archive& archive,
              const std::vector<Item>& items,
              uint32_t max_items = kMaxListItems) {
  if (items.size() > max_items) {
    throw cereal::Exception("list is too long");
  }
  archive(static_cast<uint32_t>(items.size()));
  for (const Item& item : items) {
    archive(item);
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_BYTES_H_
