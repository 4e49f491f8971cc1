// How near a service is to the end of what it can take.
#ifndef KINGCUPSLIP_CORE_PRESSURE_GAUGE_HPP
#define KINGCUPSLIP_CORE_PRESSURE_GAUGE_HPP

#include "kingcupslip/core/time.hpp"

#include <algorithm>

namespace kingcupslip {

/// Moving average of the pressure that replies report; 1 means that all of a
/// service's concurrency is in use, more that requests wait or are refused. It
/// travels up the chains of nested calls with their replies, so that those who
/// let requests in know of a shortage below before their requests fail of it.
class pressure_gauge {
public:
  void add(double pressure, instant now) {
    const bool is_outdated = now - m_updated_at > max_age;
    m_updated_at = now;
    m_average = is_outdated
                    ? pressure
                    : m_average + weight * (std::min(pressure, max_pressure) -
                                            m_average);
  }
  /// 0 without recent reports.
  double value(instant now) const {
    return now - m_updated_at > max_age ? 0 : m_average;
  }

private:
  static constexpr duration max_age = std::chrono::seconds(1);
  static constexpr double weight = 1.0 / 16;
  static constexpr double max_pressure = 4;

  double m_average = 0;
  instant m_updated_at{-10'000'000};
};

} // namespace kingcupslip

#endif
