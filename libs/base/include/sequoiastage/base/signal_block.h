#ifndef SEQUOIASTAGE_BASE_SIGNAL_BLOCK_H_
#define SEQUOIASTAGE_BASE_SIGNAL_BLOCK_H_

#include <csignal>
#include <initializer_list>

namespace sequoiastage {

/// Holds signals back until handlers for them are installed. Construct it first
/// in main(), before any thread: a signal that arrives earlier ends the process
/// by its default action.
class SignalBlock {
 public:
  SignalBlock(std::initializer_list<int> signals) {
    sigemptyset(&m_signals);
    for (const int signal : signals) {
      sigaddset(&m_signals, signal);
    }
    pthread_sigmask(SIG_BLOCK, &m_signals, nullptr);
  }
  SignalBlock(const SignalBlock&) = delete;
  SignalBlock& operator=(const SignalBlock&) = delete;
  ~SignalBlock() { Release(); }

  /// Delivers the signals that have arrived, and all later ones.
  void Release() { pthread_sigmask(SIG_UNBLOCK, &m_signals, nullptr); }

 private:
  sigset_t m_signals;
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BASE_SIGNAL_BLOCK_H_
