#include "rattanbeam/model/memberlog.h"

namespace rattanbeam::model
{

std::uint64_t
commonPrefixLength(const TermHistory &firstHistory, std::uint64_t firstEnd, const TermHistory &secondHistory, std::uint64_t secondEnd)
{
    std::uint64_t end = std::min(firstEnd, secondEnd);
    const auto &starts = firstHistory.starts();
    for (auto termStart = starts.rbegin(); termStart != starts.rend() && end > 0; ++termStart) {
        // The first log's entries of this term are at (start, end]. Shorten this range to the second log's entries of the same
        // term.
        while (end > termStart->start && secondHistory.termAt(end) > termStart->term) {
            const auto &secondStarts = secondHistory.starts();
            const auto laterStart = std::find_if(secondStarts.begin(), secondStarts.end(), [&](const TermStart &start) {
                return start.term > termStart->term;
            });
            end = std::min(end - 1, laterStart->start);
        }
        if (end > termStart->start && secondHistory.termAt(end) == termStart->term) {
            return end;
        }
        end = std::min(end, termStart->start);
    }
    return end;
}

} // namespace rattanbeam::model
