#ifndef SEQUOIASTAGE_TESTING_MUTATE_H_
#define SEQUOIASTAGE_TESTING_MUTATE_H_

#include <algorithm>
#include <random>
#include <string>
#include <utility>

/// Helpers for tests of parsers.
namespace sequoiastage {

/// Returns `text` damaged at one to six random places: bytes are replaced,
/// inserted, removed, repeated or exchanged with others, and at times the end
/// is cut off.
inline std::string Mutate(std::string text, std::mt19937_64& random) {
  constexpr size_t kMaxRepeated = 40;
  std::uniform_int_distribution<int> draw_count(1, 6);
  std::uniform_int_distribution<int> draw_byte(0, 255);
  std::uniform_int_distribution<int> draw_edit(0, 11);
  for (int i = draw_count(random); i > 0 && !text.empty(); --i) {
    std::uniform_int_distribution<size_t> draw_place(0, text.size() - 1);
    const size_t at = draw_place(random);
    const char byte = static_cast<char>(draw_byte(random));
    switch (draw_edit(random)) {
      case 0:
      case 1:
        text[at] = byte;
        break;
      case 2:
      case 3:
        text.insert(at, 1, byte);
        break;
      case 4:
      case 5:
        text.erase(at, 1 + at % 7);
        break;
      case 6:
      case 7:
        text.insert(at, text.substr(at, kMaxRepeated));
        break;
      case 8:
      case 9:
        std::swap(text[at], text[draw_place(random)]);
        break;
      case 10: {
        const size_t from = draw_place(random);
        const std::string part = text.substr(from, kMaxRepeated);
        text.erase(from, part.size());
        text.insert(std::min(at, text.size()), part);
        break;
      }
      default:
        text.resize(at);
    }
  }
  return text;
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_TESTING_MUTATE_H_
