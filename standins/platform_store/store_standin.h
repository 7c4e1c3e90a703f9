#ifndef SEQUOIASTAGE_STANDINS_PLATFORM_STORE_STORE_STANDIN_H_
#define SEQUOIASTAGE_STANDINS_PLATFORM_STORE_STORE_STANDIN_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "sequoiastage/http/stream_server.h"

namespace sequoiastage {

/// Faults of the store, set by PUT /faults:
///
///   {"outage": true, "silent": true, "lose_answers": 2, "delay_ms": 300,
///    "history": 50}
struct StoreFaults {
  /// Every call fails with 503 and has no effect.
  bool m_is_unavailable = false;
  /// Calls have no effect and get no response.
  bool m_is_silent = false;
  /// Number of coming appends that take effect but get no response.
  uint32_t m_lose_responses = 0;
  /// Delay of the responses.
  Duration m_delay{};
  /// Number of records of a topic that stay readable; keyed topics also keep
  /// the newest record of each key.
  uint64_t m_history = 100'000;
};

/// In-memory stand-in for the platform's store: log-append with asOf, log-read
/// with long polling and 410, paged log-newest, and log-trim. All responses
/// carry the era in the field Store-Era. Supports only
/// partition 0 of each topic; no producers and no groups. PUT /copy and PUT
/// /restore call TakeCopy() and RestoreCopy().
class StoreStandin {
 public:
  explicit StoreStandin(asio::io_context& io);

  /// Starts to listen. Returns false and sets LastReason() when the address
  /// can't be bound.
  bool Start(const Endpoint& listen);
  const std::string& LastReason() const { return m_server.LastReason(); }

  /// Appends a record with a key, at most 255 bytes long, to a keyed topic, as
  /// an operator does.
  void WriteKeyed(const std::string& topic,
                  const std::string& key,
                  const std::string& value);

  /// Takes a copy of all records.
  void TakeCopy() { m_copy = m_topics; }

  /// Restarts from the last copy: records since then are lost, their offsets
  /// are assigned again, and the era rises by one. Waiting reads fail.
  void RestoreCopy();

  StoreFaults& Faults() { return m_faults; }
  uint64_t Calls() const { return m_calls; }

 private:
  struct Topic {
    uint64_t m_first_offset = 0;
    std::deque<std::string> m_records;
    struct Newest {
      std::string m_value;
      uint64_t m_offset = 0;
    };
    // Keyed topics only.
    std::map<std::string, Newest> m_newest;

    uint64_t EndOffset() const { return m_first_offset + m_records.size(); }
  };

  struct Reader {
    std::string m_topic;
    uint64_t m_from = 0;
    StreamResponder m_responder;
    std::shared_ptr<asio::steady_timer> m_timer;
  };
  using ReaderPtr = std::shared_ptr<Reader>;

  CancelHook OnRequest(const HttpRequest& request,
                       const StreamResponder& responder);
  CancelHook HandleRead(const HttpRequest& request,
                        const StreamResponder& responder);
  HttpResponse HandleAppend(const HttpRequest& request);
  HttpResponse HandleNewest(const HttpRequest& request);
  HttpResponse HandleTrim(const HttpRequest& request);
  HttpResponse SetFaults(const HttpRequest& request);
  HttpResponse ReadFrom(const std::string& topic, uint64_t from);
  void AppendRecord(const std::string& name, std::string record);
  void Trim(Topic& topic);
  void WakeReaders(const std::string& topic);
  void SendAfterDelay(const StreamResponder& responder, HttpResponse response);

  asio::io_context& m_io;
  std::map<std::string, Topic> m_topics;
  std::map<std::string, Topic> m_copy;
  uint32_t m_era = 1;
  std::list<ReaderPtr> m_readers;
  StoreFaults m_faults;
  uint64_t m_calls = 0;
  // Declared last: its destructor cancels readers.
  StreamServer m_server;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_STANDINS_PLATFORM_STORE_STORE_STANDIN_H_
