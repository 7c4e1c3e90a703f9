#include <gtest/gtest.h>

#include <utility>

#include "sequoiastage/wire/frame.h"
#include "sequoiastage/wire/messages.h"

namespace sequoiastage {
namespace {

// What a tagged offer adds must arrive; a plain offer of the same content must
// not carry it, since builds without client accounts read it.
TEST(TaggedOfferTest, CarriesAccountOriginRouteAndWait) {
  const OfferMessage offer{.m_attempt = AttemptNumber(3),
                           .m_instance = "i-1",
                           .m_request_id = "7",
                           .m_account = "ferries",
                           .m_share_account = AccountId(9),
                           .m_is_call = true,
                           .m_route = "entry",
                           .m_max_wait_ms = 1000};
  OfferMessage plain = offer;
  plain.m_account.clear();
  plain.m_share_account = AccountId();
  plain.m_is_call = false;
  plain.m_route.clear();
  plain.m_max_wait_ms = 0;
  for (const auto& [sent, expected] :
       {std::pair<Message, Message>(TaggedOfferMessage{offer},
                                    TaggedOfferMessage{offer}),
        std::pair<Message, Message>(offer, plain)}) {
    const auto frame = EncodeFrame(sent);
    ASSERT_TRUE(frame);
    FrameDecoder decoder;
    decoder.Feed(*frame);
    const auto decoded = decoder.Next();
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(*decoded == expected);
  }
}

}  // namespace
}  // namespace sequoiastage
