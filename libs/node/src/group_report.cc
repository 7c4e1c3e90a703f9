#include "group_report_p.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <sstream>
#include <string>

#include "sequoiastage/wire/bytes.h"

namespace sequoiastage {

template <class Archive>
void serialize(Archive& archive, InstanceNews& news) {
  InstanceLoad& load = news.m_load;
  archive(load.m_instance, load.m_slots, load.m_in_use, load.m_queued,
          load.m_is_suspect, news.m_summary);
}

std::vector<uint8_t> EncodeGroupReport(const std::vector<InstanceNews>& news) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive output(stream);
    SaveList(output, news);
  }
  const std::string text = std::move(stream).str();
  return {text.begin(), text.end()};
}

std::optional<std::vector<InstanceNews>> DecodeGroupReport(
    std::span<const uint8_t> bytes) {
  try {
    std::istringstream stream(std::string(bytes.begin(), bytes.end()));
    cereal::PortableBinaryInputArchive input(stream);
    std::vector<InstanceNews> news;
    LoadList(input, news);
    return news;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace sequoiastage
