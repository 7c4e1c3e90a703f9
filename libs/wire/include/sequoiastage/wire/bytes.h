#ifndef SEQUOIASTAGE_WIRE_BYTES_H_
#define SEQUOIASTAGE_WIRE_BYTES_H_

#include <algorithm>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace sequoiastage {

/// Longest list in a message. Small items take more room in memory than in a
/// frame, so the limit on the frame does not bound them.
inline constexpr uint32_t kMaxListItems = 4096;

/// Loads a length-prefixed byte string. Grows the string only as far as input
/// is there, so that a false length can't cause a large allocation.
/// Throws cereal::Exception when the input ends early.
template <class Archive>
void LoadBytes(Archive& archive, std::string& text) {
  constexpr uint32_t kChunkBytes = 16 * 1024;
  uint32_t left = 0;
  archive(left);
  text.clear();
  while (left > 0) {
    const uint32_t chunk = std::min(left, kChunkBytes);
    const size_t offset = text.size();
    text.resize(offset + chunk);
    archive(cereal::binary_data(text.data() + offset, chunk));
    left -= chunk;
  }
}

/// Saves `text` in the form that LoadBytes() reads.
template <class Archive>
void SaveBytes(Archive& archive, const std::string& text) {
  archive(static_cast<uint32_t>(text.size()));
  archive(cereal::binary_data(text.data(), text.size()));
}

/// Saves a number in as few bytes as it needs: 7 bits of it in each, the low
/// ones first.
template <class Archive>
void SaveVarint(Archive& archive, uint16_t value) {
  constexpr uint16_t kMore = 0x80;
  for (; value >= kMore; value >>= 7) {
    archive(static_cast<uint8_t>(value | kMore));
  }
  archive(static_cast<uint8_t>(value));
}

/// Loads what SaveVarint() saved. Throws cereal::Exception when it is no number
/// of 16 bits.
template <class Archive>
void LoadVarint(Archive& archive, uint16_t& value) {
  constexpr uint32_t kMore = 0x80;
  uint32_t sum = 0;
  for (int shift = 0; shift <= 14; shift += 7) {
    uint8_t byte = 0;
    archive(byte);
    sum |= (byte & (kMore - 1)) << shift;
    if ((byte & kMore) == 0 && sum <= UINT16_MAX) {
      value = static_cast<uint16_t>(sum);
      return;
    }
  }
  throw cereal::Exception("number is too large");
}

/// Loads a counted list item by item; like LoadBytes() it only grows as far
/// as input is there. Throws above kMaxListItems.
template <class Archive, class Item>
void LoadList(Archive& archive, std::vector<Item>& items) {
  uint32_t count = 0;
  archive(count);
  if (count > kMaxListItems) {
    throw cereal::Exception("list is too long");
  }
  items.clear();
  for (uint32_t i = 0; i < count; ++i) {
    archive(items.emplace_back());
  }
}

/// Saves `items` in the form that LoadList() reads. Throws above
/// kMaxListItems.
template <class Archive, class Item>
void SaveList(Archive& archive, const std::vector<Item>& items) {
  if (items.size() > kMaxListItems) {
    throw cereal::Exception("list is too long");
  }
  archive(static_cast<uint32_t>(items.size()));
  for (const Item& item : items) {
    archive(item);
  }
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_BYTES_H_
