#ifndef SEQUOIASTAGE_NODE_KEY_OWNER_P_H_
#define SEQUOIASTAGE_NODE_KEY_OWNER_P_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "problem_p.h"
#include "request_runner_p.h"
#include "sequoiastage/execution/idempotency_key.h"
#include "sequoiastage/execution/key_ledger.h"

namespace sequoiastage {

// Final answer to a request with an idempotency key.
struct KeyedAnswer {
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  HttpResponse m_answer;
};

// Runs requests with the idempotency keys that this node issued, each at most
// once. Owned by the ingress thread.
class KeyOwner {
 public:
  using Done = std::function<void(KeyedAnswer)>;

  KeyOwner(asio::io_context& io,
           NodeId node,
           Incarnation incarnation,
           RequestRunner& runner);

  // Text of a fresh key.
  std::string Issue();

  // Runs `request` under `key`, or answers what became of it. `done` is called
  // at the request's deadline at the latest; work that may have started goes on
  // for a while, so that a caller who asks again gets its answer.
  void Present(const IdempotencyKey& key,
               const std::string& account,
               RunRequest request,
               const Done& done);

  // What is known of `key`; runs nothing.
  KeyedAnswer Look(const IdempotencyKey& key);

  KeyLedgerStats Stats() const { return m_ledger.Stats(); }

 private:
  // One caller that waits for the outcome of a key.
  struct Waiter {
    Done m_done;
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  void AddWaiter(KeyWaiter waiter,
                 const IdempotencyKey& key,
                 WallTime deadline,
                 const Done& done);
  void AnswerWaiter(KeyWaiter waiter, KeyedAnswer answer);
  void Start(const IdempotencyKey& key, RunRequest request, KeyWaiter waiter);
  void OnRun(const IdempotencyKey& key, RunResult result, KeyWaiter waiter);

  asio::io_context& m_io;
  KeyIssuer m_issuer;
  KeyLedger m_ledger;
  RequestRunner& m_runner;
  uint64_t m_last_waiter = 0;
  std::unordered_map<KeyWaiter, Waiter> m_waiters;
};

// How the result of a run is told the caller.
HttpResponse ToAnswer(RunResult result);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_KEY_OWNER_P_H_
