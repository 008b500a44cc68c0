// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

namespace vetchpost::bench {

/// One result of a benchmark, printed as a line at the end of its output.
struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    std::optional<double> bound;
};

/// Prints "figure=NAME value=V unit=U baseline=B ratio=R bound=X"; ratio is value / baseline. Without a baseline, "baseline" and
/// "ratio" are left out; without a bound, "bound" is.
void printFigure(const figure &figure);
/// Returns the user and system processor time that this process has used, in seconds.
double processorSeconds();
/// Returns the current resident memory of this process, in kilobytes of 1024 bytes.
double residentKilobytes();

} // namespace vetchpost::bench
