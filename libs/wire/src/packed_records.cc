#include "sequoiastage/wire/packed_records.h"

#include <zlib.h>

#include <array>
#include <sstream>

#include "sequoiastage/wire/frame.h"
#include "serialize_p.h"

namespace sequoiastage {

namespace {

constexpr size_t kChunkBytes = size_t{64} << 10;
// A record takes more than one byte, so the limit on bytes applies first.
constexpr uint32_t kMaxRecords = kMaxPayloadBytes;

// Decompresses `bytes`. Empty when they are damaged or the result exceeds
// kMaxPayloadBytes.
std::optional<std::string> Decompress(const std::string& bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  // zlib does not write to its input.
  stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  std::array<char, kChunkBytes> chunk;
  int status = Z_OK;
  while (status == Z_OK && out.size() <= kMaxPayloadBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = chunk.size();
    status = inflate(&stream, Z_NO_FLUSH);
    out.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (status != Z_STREAM_END || out.size() > kMaxPayloadBytes) {
    return std::nullopt;
  }
  return out;
}

}  // namespace

std::string PackRecords(const std::vector<StoreRecord>& records) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive output(stream);
    SaveList(output, records, kMaxRecords);
  }
  const std::string plain = std::move(stream).str();
  uLongf size = compressBound(plain.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
            reinterpret_cast<const Bytef*>(plain.data()), plain.size(),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

std::optional<std::vector<StoreRecord>> UnpackRecords(
    const std::string& bytes) {
  const auto plain = Decompress(bytes);
  if (!plain) {
    return std::nullopt;
  }
  try {
    std::istringstream stream(*plain);
    cereal::PortableBinaryInputArchive input(stream);
    std::vector<StoreRecord> records;
    LoadList(input, records, kMaxRecords);
    return records;
  } catch (const cereal::Exception&) {
    return std::nullopt;
  }
}

}  // namespace sequoiastage
