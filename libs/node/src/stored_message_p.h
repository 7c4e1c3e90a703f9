#ifndef SEQUOIASTAGE_NODE_STORED_MESSAGE_P_H_
#define SEQUOIASTAGE_NODE_STORED_MESSAGE_P_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sequoiastage/execution/attempt_ledger.h"
#include "sequoiastage/wire/frame.h"

namespace sequoiastage {

// Encodes `message` for storage in a ledger; null when it exceeds the frame
// limit.
inline StoredResponse EncodeStoredMessage(const Message& message) {
  auto frame = EncodeFrame(message);
  return frame ? std::make_shared<const std::string>(std::move(*frame))
               : nullptr;
}

// Decodes a message of type T from EncodeStoredMessage(); empty when `stored`
// is null or holds another type.
template <class T>
std::optional<T> DecodeStoredMessage(const StoredResponse& stored) {
  if (stored == nullptr) {
    return std::nullopt;
  }
  FrameDecoder decoder;
  decoder.Feed(*stored);
  auto message = decoder.Next();
  if (!message || !std::holds_alternative<T>(*message)) {
    return std::nullopt;
  }
  return std::get<T>(*std::move(message));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_STORED_MESSAGE_P_H_
