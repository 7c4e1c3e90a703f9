#include "group_report_p.h"

#include <algorithm>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <string>
#include <tuple>

#include "sequoiastage/wire/bytes.h"

namespace sequoiastage {

namespace {

// Maximum of instances in a report; the count is encoded in one byte.
constexpr size_t kMaxUpdates = 255;

// References to the counts of a load and a summary, in encoding order.
template <class Load, class Summary>
auto TieCounts(Load& load, Summary& summary) {
  return std::tie(load.m_slots, load.m_in_use, load.m_queued,
                  summary.m_recent_outcomes, summary.m_recent_failures,
                  summary.m_outcomes, summary.m_failures);
}

// Writes a bitmap of the non-empty buckets, then their counts.
template <class Archive>
void SaveHistogram(Archive& archive, const LatencyHistogram& histogram) {
  const LatencyHistogram::Counts& counts = histogram.BucketCounts();
  for (size_t first = 0; first < counts.size(); first += 8) {
    uint8_t non_empty = 0;
    for (size_t i = 0; i < 8; ++i) {
      non_empty |= static_cast<uint8_t>((counts[first + i] != 0 ? 1 : 0) << i);
    }
    archive(non_empty);
  }
  for (const uint16_t count : counts) {
    if (count != 0) {
      SaveVarint(archive, count);
    }
  }
}

template <class Archive>
LatencyHistogram LoadHistogram(Archive& archive) {
  LatencyHistogram::Counts counts{};
  std::array<uint8_t, LatencyHistogram::kBuckets / 8> non_empty{};
  for (uint8_t& byte : non_empty) {
    archive(byte);
  }
  for (size_t i = 0; i < counts.size(); ++i) {
    if ((non_empty[i / 8] >> i % 8 & 1) != 0) {
      LoadVarint(archive, counts[i]);
    }
  }
  return LatencyHistogram(counts);
}

template <class Archive>
void Save(Archive& archive, const InstanceUpdate& update) {
  archive(update.m_load.m_instance,
          static_cast<uint8_t>(update.m_load.m_is_suspect ? 1 : 0));
  std::apply(
      [&archive](const auto&... counts) { (SaveVarint(archive, counts), ...); },
      TieCounts(update.m_load, update.m_summary));
  SaveHistogram(archive, update.m_summary.m_latencies);
}

template <class Archive>
void Load(Archive& archive, InstanceUpdate& update) {
  uint8_t is_suspect = 0;
  archive(update.m_load.m_instance, is_suspect);
  update.m_load.m_is_suspect = is_suspect != 0;
  std::apply(
      [&archive](auto&... counts) { (LoadVarint(archive, counts), ...); },
      TieCounts(update.m_load, update.m_summary));
  update.m_summary.m_latencies = LoadHistogram(archive);
}

}  // namespace

RunTag RunTagOf(Incarnation incarnation) {
  return RunTag(std::max(1U, static_cast<uint32_t>(incarnation.Get())));
}

std::vector<uint8_t> EncodeGroupReport(
    const std::vector<InstanceUpdate>& updates) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive output(stream);
    const size_t count = std::min(updates.size(), kMaxUpdates);
    output(static_cast<uint8_t>(count));
    for (size_t i = 0; i < count; ++i) {
      Save(output, updates[i]);
    }
    // Older builds do not read on.
    for (size_t i = 0; i < count; ++i) {
      output(updates[i].m_run);
    }
  }
  const std::string text = std::move(stream).str();
  return {text.begin(), text.end()};
}

std::optional<std::vector<InstanceUpdate>> DecodeGroupReport(
    std::span<const uint8_t> bytes) {
  try {
    std::istringstream stream(std::string(bytes.begin(), bytes.end()));
    cereal::PortableBinaryInputArchive input(stream);
    uint8_t count = 0;
    input(count);
    std::vector<InstanceUpdate> updates;
    for (uint8_t i = 0; i < count; ++i) {
      Load(input, updates.emplace_back());
    }
    if (stream.peek() == std::istringstream::traits_type::eof()) {
      return updates;  // Of an older build.
    }
    for (InstanceUpdate& update : updates) {
      input(update.m_run);
    }
    return updates;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace sequoiastage
