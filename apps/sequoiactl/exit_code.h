#ifndef SEQUOIASTAGE_SEQUOIACTL_EXIT_CODE_H_
#define SEQUOIASTAGE_SEQUOIACTL_EXIT_CODE_H_

namespace sequoiastage {

/// Exit status of sequoiactl. Scripts depend on the values; --help lists them.
enum class ExitCode {
  kDone = 0,
  /// Wrong command line.
  kUsage = 1,
  /// A configuration has findings, or the node refused a bad request.
  kInvalid = 2,
  /// The change conflicts with another operator's change; nothing changed.
  kConflict = 3,
  /// The platform's log is unavailable; nothing was written.
  kLogUnavailable = 4,
  /// It is not known whether the change was written.
  kUnknown = 5,
  /// The node is unreachable, fails or refuses the token.
  kNodeUnavailable = 6,
  /// The change is accepted, but not in force on every node within --wait.
  kIncompleteRollout = 7,
  /// No such service, instance, node, key, document or request.
  kNotFound = 8
};

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_SEQUOIACTL_EXIT_CODE_H_
