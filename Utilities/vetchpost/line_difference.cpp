// SPDX-License-Identifier: Apache-2.0
#include "Utilities/vetchpost/line_difference.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace vetchpost {

namespace {

std::vector<std::string> splitLines(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

} // namespace

std::string lineDifference(const std::string &first, const std::string &second)
{
    const auto before = splitLines(first);
    const auto after = splitLines(second);
    // Longest common subsequence, computed from the ends: commonLength[i][j] is its length for the lines from i and from j to the end.
    std::vector<std::vector<std::size_t>> commonLength(before.size() + 1, std::vector<std::size_t>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            commonLength[i][j]
                = before[i] == after[j] ? commonLength[i + 1][j + 1] + 1 : std::max(commonLength[i + 1][j], commonLength[i][j + 1]);
        }
    }
    std::string result;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            ++i;
            ++j;
        } else if (j == after.size() || (i < before.size() && commonLength[i + 1][j] >= commonLength[i][j + 1])) {
            result += "-" + before[i++] + "\n";
        } else {
            result += "+" + after[j++] + "\n";
        }
    }
    return result;
}

} // namespace vetchpost
