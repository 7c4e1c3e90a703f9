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

/// Troubles of the store, set by PUT /faults:
///
///   {"outage": true, "silent": true, "lose_answers": 2, "delay_ms": 300,
///    "history": 50}
struct StoreFaults {
  /// Every call is answered 503 and does nothing.
  bool m_is_out = false;
  /// Calls are neither done nor answered.
  bool m_is_silent = false;
  /// So many appends take effect and are never answered.
  uint32_t m_lose_answers = 0;
  /// Answers wait so long.
  Duration m_delay{};
  /// Records of a topic that stay readable; keyed topics keep the newest of
  /// each key besides.
  uint64_t m_history = 100'000;
};

/// Stand-in for the platform's store, in memory: log-append with asOf, log-read
/// with waits and 410, log-newest with pages, log-trim. Partition 0 of each
/// topic only; no producers and no groups.
class StoreStandin {
 public:
  explicit StoreStandin(asio::io_context& io);

  /// False with LastReason() when the address can't be had.
  bool Start(const Endpoint& listen);
  const std::string& LastReason() const { return m_server.LastReason(); }

  /// Appends a record with a key to a keyed topic, as the operator does.
  void WriteKeyed(const std::string& topic,
                  const std::string& key,
                  const std::string& value);

  StoreFaults& Faults() { return m_faults; }
  uint64_t Calls() const { return m_calls; }

 private:
  struct Topic {
    uint64_t m_first = 0;
    std::deque<std::string> m_records;
    struct Newest {
      std::string m_value;
      uint64_t m_offset = 0;
    };
    // Keyed topics only.
    std::map<std::string, Newest> m_newest;

    uint64_t End() const { return m_first + m_records.size(); }
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
  CancelHook OnRead(const HttpRequest& request,
                    const StreamResponder& responder);
  HttpResponse OnAppend(const HttpRequest& request);
  HttpResponse OnNewest(const HttpRequest& request);
  HttpResponse OnTrim(const HttpRequest& request);
  HttpResponse OnFaults(const HttpRequest& request);
  HttpResponse ReadFrom(const std::string& topic, uint64_t from);
  void AppendRecord(const std::string& name, std::string record);
  void Trim(Topic& topic);
  void WakeReaders(const std::string& topic);
  void SendLater(const StreamResponder& responder, HttpResponse answer);

  asio::io_context& m_io;
  std::map<std::string, Topic> m_topics;
  std::list<ReaderPtr> m_readers;
  StoreFaults m_faults;
  uint64_t m_calls = 0;
  // Last: its end cancels readers.
  StreamServer m_server;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_STANDINS_PLATFORM_STORE_STORE_STANDIN_H_
