#include "rattanbeam/model/memberlog.h"

namespace rattanbeam::model
{

std::uint64_t commonPrefix(const TermHistory &mine, std::uint64_t myEnd, const TermHistory &theirs, std::uint64_t theirEnd)
{
    std::uint64_t end = std::min(myEnd, theirEnd);
    const auto &starts = mine.starts();
    for (auto each = starts.rbegin(); each != starts.rend() && end > 0; ++each) {
        // Each term of ours covers (start, end]; shorten to what they have of the same term.
        while (end > each->start && theirs.termAt(end) > each->term) {
            const auto &their = theirs.starts();
            const auto later = std::find_if(their.begin(), their.end(), [&](const TermStart &start) {
                return start.term > each->term;
            });
            end = std::min(end - 1, later->start);
        }
        if (end > each->start && theirs.termAt(end) == each->term) {
            return end;
        }
        end = std::min(end, each->start);
    }
    return end;
}

} // namespace rattanbeam::model
