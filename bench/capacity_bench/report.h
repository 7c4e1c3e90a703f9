#ifndef SEQUOIASTAGE_BENCH_CAPACITY_BENCH_REPORT_H_
#define SEQUOIASTAGE_BENCH_CAPACITY_BENCH_REPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastage {

/// One figure at several sizes, with the line fitted through them.
class Series {
 public:
  /// `figure` with its unit, `size` names what grows.
  Series(std::string figure, std::string size);
  ~Series();
  Series(const Series&) = delete;
  Series& operator=(const Series&) = delete;

  /// Prints the point at once. The line is printed by the destructor.
  void Add(double size, double value);

 private:
  std::string m_figure;
  std::string m_size;
  std::vector<std::pair<double, double>> m_points;
};

void PrintHeading(const std::string& text);
void PrintFigure(const std::string& figure, double value);

/// Processor seconds of this process.
double CpuSeconds();

/// Bytes of heap in use.
double HeapBytes();

/// Processor seconds of one call, from as many calls as take a tenth of a
/// second.
double SecondsPerCall(const std::function<void()>& call);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_CAPACITY_BENCH_REPORT_H_
