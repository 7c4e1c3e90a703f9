#ifndef SEQUOIASTAGE_NODE_STORED_MESSAGE_P_H_
#define SEQUOIASTAGE_NODE_STORED_MESSAGE_P_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "sequoiastage/execution/attempt_ledger.h"
#include "sequoiastage/wire/frame.h"

namespace sequoiastage {

// `message` as a ledger keeps it; null when it is too large for a frame.
inline StoredResponse StoreMessage(const Message& message) {
  auto frame = EncodeFrame(message);
  return frame ? std::make_shared<const std::string>(std::move(*frame))
               : nullptr;
}

// The message of type T that StoreMessage() stored; empty when `answer` is
// null or holds another.
template <class T>
std::optional<T> LoadMessage(const StoredResponse& answer) {
  if (answer == nullptr) {
    return std::nullopt;
  }
  FrameDecoder decoder;
  decoder.Feed(*answer);
  auto message = decoder.Next();
  if (!message || !std::holds_alternative<T>(*message)) {
    return std::nullopt;
  }
  return std::get<T>(*std::move(message));
}

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_STORED_MESSAGE_P_H_
