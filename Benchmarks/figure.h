// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>

namespace vetchpost::bench {

/// One figure of a benchmark's last lines.
struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    std::optional<double> bound;
};

/// Prints "figure=NAME value=V unit=U baseline=B ratio=R bound=X"; what is not known is left out.
void printFigure(const figure &figure);
/// Processor time of this process so far, in seconds.
double processorSeconds();
/// Resident memory of this process now, in kilobytes.
double residentKilobytes();

} // namespace vetchpost::bench
