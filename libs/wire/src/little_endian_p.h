#ifndef SEQUOIASTAGE_WIRE_LITTLE_ENDIAN_P_H_
#define SEQUOIASTAGE_WIRE_LITTLE_ENDIAN_P_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace sequoiastage {

template <class Number>
void WriteLittleEndian(std::string& bytes, size_t at, Number number) {
  for (size_t i = 0; i < sizeof(Number); ++i) {
    bytes[at + i] = static_cast<char>(number >> (8 * i));
  }
}

template <class Number>
Number ReadLittleEndian(std::string_view bytes, size_t at) {
  Number number = 0;
  for (size_t i = 0; i < sizeof(Number); ++i) {
    number |= static_cast<Number>(static_cast<uint8_t>(bytes[at + i]))
              << (8 * i);
  }
  return number;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_WIRE_LITTLE_ENDIAN_P_H_
