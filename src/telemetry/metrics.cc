#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include "telemetry/telemetry.h"

namespace mimosadeck::telemetry {
namespace internal {
namespace {

const prometheus::Histogram::BucketBoundaries kBucketSeconds{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
    0.25,  0.5,    0.82,  1,    2.5,   5,    10};

}  // namespace
}  // namespace internal

struct metrics::impl {
  prometheus::Registry registry;
  std::mutex mutex;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::Count(const std::string& name,
                    const std::string& label,
                    const std::string& value,
                    double amount) {
  const std::lock_guard lock(impl_->mutex);
  auto& family = impl_->counters[name];
  if (!family) {
    family = &prometheus::BuildCounter().Name(name).Register(impl_->registry);
  }
  family->Add({{label, value}}).Increment(amount);
}

void metrics::Set(const std::string& name,
                  const std::string& label,
                  const std::string& value,
                  double amount) {
  const std::lock_guard lock(impl_->mutex);
  auto& family = impl_->gauges[name];
  if (!family) {
    family = &prometheus::BuildGauge().Name(name).Register(impl_->registry);
  }
  family->Add({{label, value}}).Set(amount);
}

void metrics::Observe(const std::string& name,
                      const std::string& label,
                      const std::string& value,
                      std::chrono::nanoseconds time) {
  const std::lock_guard lock(impl_->mutex);
  auto& family = impl_->histograms[name];
  if (!family) {
    family = &prometheus::BuildHistogram().Name(name).Register(impl_->registry);
  }
  family->Add({{label, value}}, internal::kBucketSeconds)
      .Observe(std::chrono::duration<double>(time).count());
}

std::string metrics::Text() const {
  return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

}  // namespace mimosadeck::telemetry
