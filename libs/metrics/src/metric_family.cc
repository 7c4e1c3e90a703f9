#include "sequoiastage/metrics/metric_family.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace sequoiastage {

namespace {

const char* TypeName(MetricType type) {
  switch (type) {
    case MetricType::kCounter:
      return "counter";
    case MetricType::kGauge:
      return "gauge";
    case MetricType::kSummary:
      return "summary";
    case MetricType::kHistogram:
      return "histogram";
  }
  return "untyped";
}

std::string FormatValue(double value) {
  if (std::isnan(value)) {
    return "NaN";
  }
  if (std::isinf(value)) {
    return value > 0 ? "+Inf" : "-Inf";
  }
  return fmt::format("{}", value);
}

std::string Escape(const std::string& text, bool escape_quotes) {
  std::string escaped;
  for (const char c : text) {
    if (c == '\n') {
      escaped += "\\n";
    } else if (c == '\\' || (escape_quotes && c == '"')) {
      escaped += '\\';
      escaped += c;
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RenderLabels(const std::vector<MetricLabel>& labels) {
  if (labels.empty()) {
    return "";
  }
  std::string text = "{";
  for (const MetricLabel& label : labels) {
    if (text.size() > 1) {
      text += ',';
    }
    text += label.m_name + "=\"" + Escape(label.m_value, true) + "\"";
  }
  return text + "}";
}

// Renders the lines common to summaries and histograms.
void RenderTotals(const std::string& name,
                  const MetricSample& sample,
                  std::string* text) {
  const std::string labels = RenderLabels(sample.m_labels);
  *text += name + "_sum" + labels + " " + FormatValue(sample.m_value) + "\n";
  *text +=
      name + "_count" + labels + " " + std::to_string(sample.m_count) + "\n";
}

void RenderSummary(const std::string& name,
                   const MetricSample& sample,
                   std::string* text) {
  for (const MetricQuantile& quantile : sample.m_quantiles) {
    std::vector<MetricLabel> labels = sample.m_labels;
    labels.push_back({"quantile", FormatValue(quantile.m_rank)});
    *text += name + RenderLabels(labels) + " " + FormatValue(quantile.m_value) +
             "\n";
  }
  RenderTotals(name, sample, text);
}

void RenderHistogram(const std::string& name,
                     const MetricSample& sample,
                     std::string* text) {
  std::vector<MetricBucket> buckets = sample.m_buckets;
  buckets.push_back({.m_upper_bound = std::numeric_limits<double>::infinity(),
                     .m_count = sample.m_count});
  for (const MetricBucket& bucket : buckets) {
    std::vector<MetricLabel> labels = sample.m_labels;
    labels.push_back({"le", FormatValue(bucket.m_upper_bound)});
    *text += name + "_bucket" + RenderLabels(labels) + " " +
             std::to_string(bucket.m_count) + "\n";
  }
  RenderTotals(name, sample, text);
}

void MergeBuckets(std::vector<MetricBucket>* into,
                  const std::vector<MetricBucket>& from) {
  for (const MetricBucket& bucket : from) {
    const auto existing = std::find_if(
        into->begin(), into->end(), [&](const MetricBucket& candidate) {
          return candidate.m_upper_bound == bucket.m_upper_bound;
        });
    if (existing == into->end()) {
      into->push_back(bucket);
    } else {
      existing->m_count += bucket.m_count;
    }
  }
}

void MergeQuantiles(std::vector<MetricQuantile>* into,
                    const std::vector<MetricQuantile>& from) {
  for (const MetricQuantile& quantile : from) {
    const auto existing = std::find_if(
        into->begin(), into->end(), [&](const MetricQuantile& candidate) {
          return candidate.m_rank == quantile.m_rank;
        });
    if (existing == into->end()) {
      into->push_back(quantile);
    } else {
      existing->m_value = std::max(existing->m_value, quantile.m_value);
    }
  }
}

void MergeSample(std::vector<MetricSample>* into, const MetricSample& from) {
  const auto existing = std::find_if(
      into->begin(), into->end(), [&](const MetricSample& candidate) {
        return candidate.m_labels == from.m_labels;
      });
  if (existing == into->end()) {
    into->push_back(from);
    return;
  }
  existing->m_value += from.m_value;
  existing->m_count += from.m_count;
  MergeQuantiles(&existing->m_quantiles, from.m_quantiles);
  MergeBuckets(&existing->m_buckets, from.m_buckets);
}

}  // namespace

void MergeMetrics(std::vector<MetricFamily>* into,
                  const std::vector<MetricFamily>& from) {
  for (const MetricFamily& family : from) {
    const auto existing = std::find_if(
        into->begin(), into->end(), [&](const MetricFamily& candidate) {
          return candidate.m_name == family.m_name;
        });
    if (existing == into->end()) {
      into->push_back(family);
      continue;
    }
    for (const MetricSample& sample : family.m_samples) {
      MergeSample(&existing->m_samples, sample);
    }
  }
}

std::string RenderMetrics(const std::vector<MetricFamily>& families) {
  std::string text;
  for (const MetricFamily& family : families) {
    text += "# HELP " + family.m_name + " " + Escape(family.m_help, false) +
            "\n# TYPE " + family.m_name + " " + TypeName(family.m_type) + "\n";
    for (const MetricSample& sample : family.m_samples) {
      if (family.m_type == MetricType::kSummary) {
        RenderSummary(family.m_name, sample, &text);
      } else if (family.m_type == MetricType::kHistogram) {
        RenderHistogram(family.m_name, sample, &text);
      } else {
        text += family.m_name + RenderLabels(sample.m_labels) + " " +
                FormatValue(sample.m_value) + "\n";
      }
    }
  }
  return text;
}

}  // namespace sequoiastage
