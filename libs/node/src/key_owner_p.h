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

// Outcome and response of a request with an idempotency key.
struct KeyedResponse {
  RequestOutcome m_outcome = RequestOutcome::kUnknown;
  HttpResponse m_response;
};

// Executes requests under the idempotency keys that this node issued, at most
// once per key. Owned by the ingress thread.
class KeyOwner {
 public:
  using Done = std::function<void(KeyedResponse)>;

  KeyOwner(asio::io_context& io,
           NodeId node,
           Incarnation incarnation,
           RequestRunner& runner);

  // Issues a new key in its text form.
  std::string Issue();

  // Executes `request` under `key`, or responds with the outcome of the earlier
  // request with the key. `done` is called at the request's deadline at the
  // latest; an execution that may have started continues for a while, so that a
  // retry of the caller receives its response.
  void Submit(const IdempotencyKey& key,
              const std::string& account,
              RunRequest request,
              const Done& done);

  // Outcome recorded for `key`; executes nothing.
  KeyedResponse LookUp(const IdempotencyKey& key);

  KeyLedgerStats Stats() const { return m_ledger.Stats(); }

 private:
  // A caller that waits for the outcome of a key.
  struct Waiter {
    Done m_done;
    std::shared_ptr<asio::steady_timer> m_timer;
  };

  void AddWaiter(KeyWaiter waiter,
                 const IdempotencyKey& key,
                 WallTime deadline,
                 const Done& done);
  void CompleteWaiter(KeyWaiter waiter, KeyedResponse response);
  void StartRun(const IdempotencyKey& key,
                RunRequest request,
                KeyWaiter waiter);
  void OnRunFinished(const IdempotencyKey& key,
                     RunResult result,
                     KeyWaiter waiter);

  asio::io_context& m_io;
  KeyIssuer m_issuer;
  KeyLedger m_ledger;
  RequestRunner& m_runner;
  uint64_t m_last_waiter = 0;
  std::unordered_map<KeyWaiter, Waiter> m_waiters;
};

// Converts the result of an execution to the response for the caller.
HttpResponse ToResponse(RunResult result);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_NODE_KEY_OWNER_P_H_
