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

// Instances of one service on one host that fit in a report.
constexpr size_t kMaxNews = 255;

// The counts of a load and a summary.
template <class Load, class Summary>
auto CountsOf(Load& load, Summary& summary) {
  return std::tie(load.m_slots, load.m_in_use, load.m_queued,
                  summary.m_recent_outcomes, summary.m_recent_failures,
                  summary.m_outcomes, summary.m_failures);
}

// A bit for each bucket that is not empty, then the counts of these.
template <class Archive>
void SaveHistogram(Archive& archive, const LatencyHistogram& histogram) {
  const LatencyHistogram::Counts& counts = histogram.BucketCounts();
  for (size_t first = 0; first < counts.size(); first += 8) {
    uint8_t filled = 0;
    for (size_t i = 0; i < 8; ++i) {
      filled |= static_cast<uint8_t>((counts[first + i] != 0 ? 1 : 0) << i);
    }
    archive(filled);
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
  std::array<uint8_t, LatencyHistogram::kBuckets / 8> filled{};
  for (uint8_t& byte : filled) {
    archive(byte);
  }
  for (size_t i = 0; i < counts.size(); ++i) {
    if ((filled[i / 8] >> i % 8 & 1) != 0) {
      LoadVarint(archive, counts[i]);
    }
  }
  return LatencyHistogram(counts);
}

template <class Archive>
void Save(Archive& archive, const InstanceNews& news) {
  archive(news.m_load.m_instance,
          static_cast<uint8_t>(news.m_load.m_is_suspect ? 1 : 0));
  std::apply(
      [&archive](const auto&... counts) { (SaveVarint(archive, counts), ...); },
      CountsOf(news.m_load, news.m_summary));
  SaveHistogram(archive, news.m_summary.m_latencies);
}

template <class Archive>
void Load(Archive& archive, InstanceNews& news) {
  uint8_t is_suspect = 0;
  archive(news.m_load.m_instance, is_suspect);
  news.m_load.m_is_suspect = is_suspect != 0;
  std::apply(
      [&archive](auto&... counts) { (LoadVarint(archive, counts), ...); },
      CountsOf(news.m_load, news.m_summary));
  news.m_summary.m_latencies = LoadHistogram(archive);
}

}  // namespace

std::vector<uint8_t> EncodeGroupReport(const std::vector<InstanceNews>& news) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive output(stream);
    const size_t count = std::min(news.size(), kMaxNews);
    output(static_cast<uint8_t>(count));
    for (size_t i = 0; i < count; ++i) {
      Save(output, news[i]);
    }
  }
  const std::string text = std::move(stream).str();
  return {text.begin(), text.end()};
}

std::optional<std::vector<InstanceNews>> DecodeGroupReport(
    std::span<const uint8_t> bytes) {
  try {
    std::istringstream stream(std::string(bytes.begin(), bytes.end()));
    cereal::PortableBinaryInputArchive input(stream);
    uint8_t count = 0;
    input(count);
    std::vector<InstanceNews> news;
    for (uint8_t i = 0; i < count; ++i) {
      Load(input, news.emplace_back());
    }
    return news;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace sequoiastage
