#include "report.h"

#include <fmt/core.h>
#include <malloc.h>

#include <cstdio>
#include <ctime>

namespace sequoiastage {

Series::Series(std::string figure, std::string size)
    : m_figure(std::move(figure)), m_size(std::move(size)) {}

Series::~Series() {
  if (m_points.size() < 2) {
    return;
  }
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : m_points) {
    mean_x += x / static_cast<double>(m_points.size());
    mean_y += y / static_cast<double>(m_points.size());
  }
  double covariance = 0;
  double variance = 0;
  for (const auto& [x, y] : m_points) {
    covariance += (x - mean_x) * (y - mean_y);
    variance += (x - mean_x) * (x - mean_x);
  }
  const double slope = covariance / variance;
  fmt::print("  {:<58} {:>12.6g} + {:.6g} * {}\n", m_figure,
             mean_y - slope * mean_x, slope, m_size);
  std::fflush(stdout);
}

void Series::Add(double size, double value) {
  m_points.emplace_back(size, value);
  fmt::print("  {:<58} {:>12.6g} at {:g} {}\n", m_figure, value, size, m_size);
  std::fflush(stdout);
}

void PrintHeading(const std::string& text) {
  fmt::print("{}\n", text);
  std::fflush(stdout);
}

void PrintFigure(const std::string& figure, double value) {
  fmt::print("  {:<58} {:>12.6g}\n", figure, value);
  std::fflush(stdout);
}

double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

double HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double SecondsPerCall(const std::function<void()>& call) {
  constexpr double kMinSeconds = 0.1;
  for (uint64_t calls = 1;; calls *= 4) {
    const double start = CpuSeconds();
    for (uint64_t i = 0; i < calls; ++i) {
      call();
    }
    const double seconds = CpuSeconds() - start;
    if (seconds >= kMinSeconds) {
      return seconds / static_cast<double>(calls);
    }
  }
}

}  // namespace sequoiastage
