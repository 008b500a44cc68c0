// SPDX-License-Identifier: Apache-2.0
#include "Benchmarks/figure.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace vetchpost::bench {

void printFigure(const figure &figure)
{
    auto line = fmt::format("figure={} value={:.4g} unit={}", figure.name, figure.value, figure.unit);
    if (figure.baseline) {
        line += fmt::format(" baseline={:.4g} ratio={:.3g}", *figure.baseline, figure.value / *figure.baseline);
    }
    if (figure.bound) {
        line += fmt::format(" bound={:.4g}", *figure.bound);
    }
    fmt::print("{}\n", line);
}

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double microsecondsPerSecond = 1e6;
    const auto secondsOf
        = [](const timeval &time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond; };
    return secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime);
}

double residentKilobytes()
{
    std::ifstream file("/proc/self/statm");
    double size = 0;
    double resident = 0;
    file >> size >> resident;
    constexpr double bytesPerKilobyte = 1024;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerKilobyte;
}

} // namespace vetchpost::bench
