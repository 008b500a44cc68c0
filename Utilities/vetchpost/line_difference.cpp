// SPDX-License-Identifier: Apache-2.0
#include "Utilities/vetchpost/line_difference.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace vetchpost {

namespace {

std::vector<std::string> linesOf(const std::string &text)
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
    const auto before = linesOf(first);
    const auto after = linesOf(second);
    // The longest common subsequence, from the ends: shared[i][j] is its length for the lines from i and from j on.
    std::vector<std::vector<std::size_t>> shared(before.size() + 1, std::vector<std::size_t>(after.size() + 1, 0));
    for (std::size_t i = before.size(); i-- > 0;) {
        for (std::size_t j = after.size(); j-- > 0;) {
            shared[i][j] = before[i] == after[j] ? shared[i + 1][j + 1] + 1 : std::max(shared[i + 1][j], shared[i][j + 1]);
        }
    }
    std::string result;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        if (i < before.size() && j < after.size() && before[i] == after[j]) {
            ++i;
            ++j;
        } else if (j == after.size() || (i < before.size() && shared[i + 1][j] >= shared[i][j + 1])) {
            result += "-" + before[i++] + "\n";
        } else {
            result += "+" + after[j++] + "\n";
        }
    }
    return result;
}

} // namespace vetchpost
