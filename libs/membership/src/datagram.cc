#include "datagram_p.h"

#include <cereal/archives/portable_binary.hpp>
#include <istream>
#include <ostream>
#include <streambuf>
#include <utility>

namespace sequoiastage {
namespace {

constexpr uint16_t kMagic = 0x5347;
constexpr uint8_t kFormatVersion = 2;

/// Appends to a vector.
class VectorBuffer : public std::streambuf {
 public:
  std::vector<uint8_t> m_bytes;

 protected:
  std::streamsize xsputn(const char* data, std::streamsize count) override {
    m_bytes.insert(m_bytes.end(), data, data + count);
    return count;
  }
  int_type overflow(int_type byte) override {
    m_bytes.push_back(static_cast<uint8_t>(byte));
    return byte;
  }
};

/// Reads from a span.
class SpanBuffer : public std::streambuf {
 public:
  explicit SpanBuffer(std::span<const uint8_t> bytes) {
    // The get area is never written to.
    char* begin =
        const_cast<char*>(reinterpret_cast<const char*>(bytes.data()));
    setg(begin, begin, begin + bytes.size());
  }
  bool IsAtEnd() const { return gptr() == egptr(); }
};

[[noreturn]] void Refuse(const char* reason) {
  throw cereal::Exception(reason);
}

/// Writes or reads a sequence of at most `limit` items, its length first. The
/// length is checked before any allocation.
template <class Archive, class Sequence, class Item>
void Items(Archive& archive, Sequence& items, std::size_t limit, Item item) {
  auto size = static_cast<uint16_t>(items.size());
  archive(size);
  if (size > limit) {
    Refuse("sequence too long");
  }
  if constexpr (Archive::is_loading::value) {
    items.clear();
    items.reserve(size);
    for (uint16_t i = 0; i < size; ++i) {
      item(items.emplace_back());
    }
  } else {
    for (auto& entry : items) {
      item(entry);
    }
  }
}

template <class Archive>
void Name(Archive& archive, std::string& name) {
  auto size = static_cast<uint8_t>(name.size());
  archive(size);
  if (size > kMaxLocationNameBytes) {
    Refuse("name too long");
  }
  name.resize(size);
  archive(cereal::binary_data(name.data(), name.size()));
}

template <class Archive, class Enum>
void EnumByte(Archive& archive, Enum& field, Enum last) {
  auto byte = static_cast<uint8_t>(field);
  archive(byte);
  if (byte > static_cast<uint8_t>(last)) {
    Refuse("unknown state");
  }
  field = static_cast<Enum>(byte);
}

template <class Archive>
void Fields(Archive& archive, InstanceEntry& instance) {
  archive(instance.m_id, instance.m_service, instance.m_incarnation,
          instance.m_slots);
  EnumByte(archive, instance.m_state, InstanceState::kGone);
  auto flags = static_cast<uint8_t>((instance.m_suspect ? 1 : 0) |
                                    (instance.m_warm_up ? 2 : 0));
  archive(flags);
  instance.m_suspect = (flags & 1) != 0;
  instance.m_warm_up = (flags & 2) != 0;
}

template <class Archive>
void Fields(Archive& archive, MemberEntry& entry) {
  archive(entry.m_node, entry.m_incarnation, entry.m_version,
          entry.m_config_version);
  Name(archive, entry.m_region);
  Name(archive, entry.m_failure_domain);
  Name(archive, entry.m_site);
  EnumByte(archive, entry.m_state, HostState::kLeft);
  Items(archive, entry.m_instances, kMaxInstancesPerNode,
        [&](InstanceEntry& instance) { Fields(archive, instance); });
}

template <class Archive>
void Fields(Archive& archive, Ping& part) {
  archive(part.m_sequence);
}

template <class Archive>
void Fields(Archive& archive, PingRequest& part) {
  archive(part.m_sequence, part.m_target);
}

template <class Archive>
void Fields(Archive& archive, Ack& part) {
  archive(part.m_sequence);
}

template <class Archive>
void Fields(Archive& archive, Nack& part) {
  archive(part.m_sequence);
}

template <class Archive>
void Fields(Archive& archive, EntryPart& part) {
  Fields(archive, part.m_entry);
  archive(part.m_status, part.m_refuted_loss, part.m_is_repair);
}

template <class Archive>
void Fields(Archive& archive, StatusPart& part) {
  archive(part.m_node, part.m_incarnation, part.m_status, part.m_config_version,
          part.m_refuted_loss, part.m_is_repair);
}

template <class Archive>
void Fields(Archive& archive, HintPart& part) {
  archive(part.m_node, part.m_incarnation, part.m_status, part.m_loss,
          part.m_is_repair);
}

template <class Archive>
void Fields(Archive& archive, DomainLossPart& part) {
  Name(archive, part.m_domain.m_region);
  Name(archive, part.m_domain.m_name);
  archive(part.m_loss, part.m_is_repair);
}

template <class Archive>
void Fields(Archive& archive, DigestPart& part) {
  part.m_hashes.resize(kDigestBuckets);
  for (uint32_t& hash : part.m_hashes) {
    archive(hash);
  }
}

template <class Archive>
void Fields(Archive& archive, BucketPart& part) {
  archive(part.m_bucket);
  Items(archive, part.m_items, kMaxDatagramBytes,
        [&](BucketPart::Item& item) { archive(item.m_node, item.m_hash); });
}

template <class Archive>
void Fields(Archive& archive, StampPart& part) {
  archive(part.m_node, part.m_incarnation, part.m_version, part.m_status,
          part.m_hint, part.m_is_reply);
}

template <class Archive>
void Fields(Archive& archive, GroupPart& part) {
  archive(part.m_service);
  Items(archive, part.m_bytes, kMaxGroupReportBytes,
        [&](uint8_t& byte) { archive(byte); });
}

/// Reads the alternative with index `tag`.
template <class Archive, std::size_t Index = 0>
DatagramPart ReadPart(Archive& archive, uint8_t tag) {
  if constexpr (Index == std::variant_size_v<DatagramPart>) {
    Refuse("unknown part");
  } else {
    if (tag != Index) {
      return ReadPart<Archive, Index + 1>(archive, tag);
    }
    std::variant_alternative_t<Index, DatagramPart> part;
    Fields(archive, part);
    return part;
  }
}

}  // namespace

struct DatagramWriter::Encoder {
  VectorBuffer m_buffer;
  std::ostream m_stream{&m_buffer};
  cereal::PortableBinaryOutputArchive m_archive{m_stream};
};

DatagramWriter::DatagramWriter(const DatagramHeader& header)
    : m_encoder(std::make_unique<Encoder>()) {
  m_encoder->m_buffer.m_bytes.reserve(kMaxDatagramBytes);
  m_encoder->m_archive(kMagic, kFormatVersion, header.m_from,
                       header.m_incarnation);
}

DatagramWriter::~DatagramWriter() = default;
DatagramWriter::DatagramWriter(DatagramWriter&&) noexcept = default;
DatagramWriter& DatagramWriter::operator=(DatagramWriter&&) noexcept = default;

bool DatagramWriter::Add(const DatagramPart& part) {
  std::vector<uint8_t>& bytes = m_encoder->m_buffer.m_bytes;
  const std::size_t before = bytes.size();
  const auto tag = static_cast<uint8_t>(part.index());
  m_encoder->m_archive(tag);
  // Fields() takes a mutable part because it also reads; writing changes none.
  std::visit(
      [this]<class Part>(const Part& alternative) {
        Fields(m_encoder->m_archive, const_cast<Part&>(alternative));
      },
      part);
  if (bytes.size() > kMaxDatagramBytes) {
    bytes.resize(before);
    return false;
  }
  ++m_parts;
  return true;
}

std::size_t DatagramWriter::Size() const {
  return m_encoder->m_buffer.m_bytes.size();
}

std::vector<uint8_t> DatagramWriter::Take() {
  return std::move(m_encoder->m_buffer.m_bytes);
}

std::optional<Datagram> DecodeDatagram(std::span<const uint8_t> bytes,
                                       std::string* reason) {
  if (bytes.size() > kMaxDatagramBytes) {
    *reason = "too long";
    return std::nullopt;
  }
  SpanBuffer buffer(bytes);
  std::istream stream(&buffer);
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    uint16_t magic = 0;
    uint8_t version = 0;
    archive(magic, version);
    if (magic != kMagic || version != kFormatVersion) {
      Refuse("unknown format");
    }
    Datagram datagram;
    archive(datagram.m_header.m_from, datagram.m_header.m_incarnation);
    while (!buffer.IsAtEnd()) {
      uint8_t tag = 0;
      archive(tag);
      datagram.m_parts.push_back(ReadPart(archive, tag));
    }
    return datagram;
  } catch (const cereal::Exception& fault) {
    *reason = fault.what();
    return std::nullopt;
  }
}

}  // namespace sequoiastage
