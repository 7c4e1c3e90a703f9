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

/// Output stream buffer that appends to a vector.
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

/// Input stream buffer over a span.
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

[[noreturn]] void ThrowFormatError(const char* reason) {
  throw cereal::Exception(reason);
}

/// Writes or reads a sequence of at most `limit` items, prefixed with its
/// length. The length is checked before any allocation.
template <class Archive, class Sequence, class Item>
void SerializeItems(Archive& archive,
                    Sequence& items,
                    std::size_t limit,
                    Item item) {
  auto size = static_cast<uint16_t>(items.size());
  archive(size);
  if (size > limit) {
    ThrowFormatError("sequence too long");
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
void SerializeName(Archive& archive, std::string& name) {
  auto size = static_cast<uint8_t>(name.size());
  archive(size);
  if (size > kMaxLocationNameBytes) {
    ThrowFormatError("name too long");
  }
  name.resize(size);
  archive(cereal::binary_data(name.data(), name.size()));
}

template <class Archive, class Enum>
void SerializeEnum(Archive& archive, Enum& field, Enum last) {
  auto byte = static_cast<uint8_t>(field);
  archive(byte);
  if (byte > static_cast<uint8_t>(last)) {
    ThrowFormatError("unknown state");
  }
  field = static_cast<Enum>(byte);
}

template <class Archive>
void SerializeFields(Archive& archive, InstanceEntry& instance) {
  archive(instance.m_id, instance.m_service, instance.m_incarnation,
          instance.m_slots);
  SerializeEnum(archive, instance.m_state, InstanceState::kRemoved);
  auto flags = static_cast<uint8_t>((instance.m_suspect ? 1 : 0) |
                                    (instance.m_warm_up ? 2 : 0));
  archive(flags);
  instance.m_suspect = (flags & 1) != 0;
  instance.m_warm_up = (flags & 2) != 0;
}

template <class Archive>
void SerializeFields(Archive& archive, MemberEntry& entry) {
  archive(entry.m_node, entry.m_incarnation, entry.m_version,
          entry.m_config_version);
  SerializeName(archive, entry.m_region);
  SerializeName(archive, entry.m_failure_domain);
  SerializeName(archive, entry.m_site);
  SerializeEnum(archive, entry.m_state, HostState::kLeft);
  SerializeItems(
      archive, entry.m_instances, kMaxInstancesPerNode,
      [&](InstanceEntry& instance) { SerializeFields(archive, instance); });
}

template <class Archive>
void SerializeFields(Archive& archive, Ping& message) {
  archive(message.m_sequence);
}

template <class Archive>
void SerializeFields(Archive& archive, PingRequest& message) {
  archive(message.m_sequence, message.m_target);
}

template <class Archive>
void SerializeFields(Archive& archive, Ack& message) {
  archive(message.m_sequence);
}

template <class Archive>
void SerializeFields(Archive& archive, Nack& message) {
  archive(message.m_sequence);
}

template <class Archive>
void SerializeFields(Archive& archive, EntryMessage& message) {
  SerializeFields(archive, message.m_entry);
  archive(message.m_status_version, message.m_refuted_loss_version,
          message.m_is_repair);
}

template <class Archive>
void SerializeFields(Archive& archive, StatusMessage& message) {
  archive(message.m_node, message.m_incarnation, message.m_status_version,
          message.m_config_version, message.m_refuted_loss_version,
          message.m_is_repair);
}

template <class Archive>
void SerializeFields(Archive& archive, HintMessage& message) {
  archive(message.m_node, message.m_incarnation, message.m_status_version,
          message.m_loss_version, message.m_is_repair);
}

template <class Archive>
void SerializeFields(Archive& archive, DomainLossMessage& message) {
  SerializeName(archive, message.m_domain.m_region);
  SerializeName(archive, message.m_domain.m_name);
  archive(message.m_loss_version, message.m_is_repair);
}

template <class Archive>
void SerializeFields(Archive& archive, DigestMessage& message) {
  message.m_hashes.resize(kDigestBuckets);
  for (uint32_t& hash : message.m_hashes) {
    archive(hash);
  }
}

template <class Archive>
void SerializeFields(Archive& archive, BucketMessage& message) {
  archive(message.m_bucket);
  SerializeItems(
      archive, message.m_items, kMaxDatagramBytes,
      [&](BucketMessage::Item& item) { archive(item.m_node, item.m_hash); });
}

template <class Archive>
void SerializeFields(Archive& archive, StampMessage& message) {
  archive(message.m_node, message.m_incarnation, message.m_version,
          message.m_status_version, message.m_hint_version, message.m_is_reply);
}

template <class Archive>
void SerializeFields(Archive& archive, GroupReportMessage& message) {
  archive(message.m_service);
  SerializeItems(archive, message.m_bytes, kMaxGroupReportBytes,
                 [&](uint8_t& byte) { archive(byte); });
}

/// Reads the MembershipMessage alternative with index `tag`.
template <class Archive, std::size_t Index = 0>
MembershipMessage ReadMessage(Archive& archive, uint8_t tag) {
  if constexpr (Index == std::variant_size_v<MembershipMessage>) {
    ThrowFormatError("unknown datagram part");
  } else {
    if (tag != Index) {
      return ReadMessage<Archive, Index + 1>(archive, tag);
    }
    std::variant_alternative_t<Index, MembershipMessage> message;
    SerializeFields(archive, message);
    return message;
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

bool DatagramWriter::Add(const MembershipMessage& message) {
  std::vector<uint8_t>& bytes = m_encoder->m_buffer.m_bytes;
  const std::size_t before = bytes.size();
  const auto tag = static_cast<uint8_t>(message.index());
  m_encoder->m_archive(tag);
  // SerializeFields() takes a mutable message because it also reads; writing
  // does not modify it.
  std::visit(
      [this]<class Message>(const Message& alternative) {
        SerializeFields(m_encoder->m_archive,
                        const_cast<Message&>(alternative));
      },
      message);
  if (bytes.size() > kMaxDatagramBytes) {
    bytes.resize(before);
    return false;
  }
  ++m_message_count;
  return true;
}

std::size_t DatagramWriter::Size() const {
  return m_encoder->m_buffer.m_bytes.size();
}

std::vector<uint8_t> DatagramWriter::Finish() {
  return std::move(m_encoder->m_buffer.m_bytes);
}

std::optional<Datagram> DecodeDatagram(std::span<const uint8_t> bytes,
                                       std::string* reason) {
  if (bytes.size() > kMaxDatagramBytes) {
    *reason = "datagram too long";
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
      ThrowFormatError("unknown format");
    }
    Datagram datagram;
    archive(datagram.m_header.m_from, datagram.m_header.m_incarnation);
    while (!buffer.IsAtEnd()) {
      uint8_t tag = 0;
      archive(tag);
      datagram.m_messages.push_back(ReadMessage(archive, tag));
    }
    return datagram;
  } catch (const cereal::Exception& exception) {
    *reason = exception.what();
    return std::nullopt;
  }
}

}  // namespace sequoiastage
