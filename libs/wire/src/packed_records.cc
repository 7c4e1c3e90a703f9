#include "sequoiastage/wire/packed_records.h"

#include <zlib.h>
#include <zstd.h>

#include <algorithm>
#include <array>
#include <bit>
#include <memory>
#include <sstream>

#include "little_endian_p.h"
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

// A delta begins with this byte, which no zlib stream begins with, and the
// position of its base. A zstd frame follows.
constexpr char kDeltaTag = 1;
constexpr size_t kDeltaHeaderBytes = 1 + sizeof(uint64_t);

std::string Serialize(const std::vector<StoreRecord>& records) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive output(stream);
    SaveList(output, records, kMaxRecords);
  }
  return std::move(stream).str();
}

// Decompresses the zstd frame of a delta. Empty when it is damaged, was made
// against another base, or the result exceeds kMaxPayloadBytes.
std::optional<std::string> DecompressDelta(std::string_view frame,
                                           const std::string& base) {
  const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (size > kMaxPayloadBytes) {  // Also when the size is unknown.
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string plain(size, '\0');
  const size_t written = ZSTD_decompressDCtx(
      context.get(), plain.data(), plain.size(), frame.data(), frame.size());
  return written == size ? std::optional(std::move(plain)) : std::nullopt;
}

std::optional<std::string> DecompressAny(const std::string& bytes,
                                         const FindBase& find_base) {
  if (bytes.empty() || bytes.front() != kDeltaTag) {
    return Decompress(bytes);
  }
  if (bytes.size() < kDeltaHeaderBytes || !find_base) {
    return std::nullopt;
  }
  const std::string* base =
      find_base(StorePosition(ReadLittleEndian<uint64_t>(bytes, 1)));
  return base == nullptr
             ? std::nullopt
             : DecompressDelta(
                   std::string_view(bytes).substr(kDeltaHeaderBytes), *base);
}

}  // namespace

std::string PackRecords(const std::vector<StoreRecord>& records) {
  const std::string plain = Serialize(records);
  uLongf size = compressBound(plain.size());
  std::string packed(size, '\0');
  compress2(reinterpret_cast<Bytef*>(packed.data()), &size,
            reinterpret_cast<const Bytef*>(plain.data()), plain.size(),
            Z_BEST_SPEED);
  packed.resize(size);
  return packed;
}

std::string PackRecordsAgainst(const std::vector<StoreRecord>& records,
                               const StoreRecord& base) {
  const std::string plain = Serialize(records);
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  const auto set = [&context](ZSTD_cParameter parameter, int value) {
    ZSTD_CCtx_setParameter(context.get(), parameter, value);
  };
  // The window has to reach back over the text to the start of the base.
  const auto window =
      static_cast<int>(std::bit_width(base.m_value.size() + plain.size()));
  const ZSTD_bounds bounds = ZSTD_cParam_getBounds(ZSTD_c_windowLog);
  set(ZSTD_c_windowLog,
      std::clamp(window, bounds.lowerBound, bounds.upperBound));
  set(ZSTD_c_enableLongDistanceMatching, 1);
  set(ZSTD_c_compressionLevel, 1);
  // Detects a base that is not the sender's.
  set(ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_refPrefix(context.get(), base.m_value.data(), base.m_value.size());
  std::string packed(kDeltaHeaderBytes + ZSTD_compressBound(plain.size()),
                     '\0');
  packed[0] = kDeltaTag;
  WriteLittleEndian<uint64_t>(packed, 1, base.m_position.Get());
  const size_t written = ZSTD_compress2(
      context.get(), packed.data() + kDeltaHeaderBytes,
      packed.size() - kDeltaHeaderBytes, plain.data(), plain.size());
  if (ZSTD_isError(written) != 0) {
    return PackRecords(records);
  }
  packed.resize(kDeltaHeaderBytes + written);
  return packed;
}

std::optional<std::vector<StoreRecord>> UnpackRecords(
    const std::string& bytes,
    const FindBase& find_base) {
  const auto plain = DecompressAny(bytes, find_base);
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
