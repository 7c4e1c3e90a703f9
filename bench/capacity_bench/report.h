#ifndef SEQUOIASTAGE_BENCH_CAPACITY_BENCH_REPORT_H_
#define SEQUOIASTAGE_BENCH_CAPACITY_BENCH_REPORT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastage {

/// One figure measured at several sizes, with a linear fit.
class Series {
 public:
  /// `figure` includes the unit; `size` names the quantity that varies.
  Series(std::string figure, std::string size);
  ~Series();
  Series(const Series&) = delete;
  Series& operator=(const Series&) = delete;

  /// Prints the point immediately. The destructor prints the linear fit.
  void Add(double size, double value);

 private:
  std::string m_figure;
  std::string m_size;
  std::vector<std::pair<double, double>> m_points;
};

void PrintHeading(const std::string& text);
void PrintFigure(const std::string& figure, double value);

/// Returns the processor time of this process in seconds.
double CpuSeconds();

/// Returns the heap in use in bytes.
double HeapBytes();

/// Returns the processor time of one call in seconds, averaged over calls that
/// take at least 0.1 s in total.
double SecondsPerCall(const std::function<void()>& call);

}  // namespace sequoiastage

#endif  // SEQUOIASTAGE_BENCH_CAPACITY_BENCH_REPORT_H_
