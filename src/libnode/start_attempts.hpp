#pragma once

#include <dandeliontack/pool_events.hpp>

#include <optional>

namespace dandeliontack
{

/// Combines the outcomes of the attempts to send one start order. Once an
/// attempt has gone unanswered, the host may still execute it: only a
/// confirmation that the task runs, or that the host has restarted, is
/// conclusive from then on.
class start_attempts
{
public:
    /// Records an attempt that was sent and not answered.
    void record_unanswered()
    {
        has_unanswered_ = true;
    }

    /// The result of the start, given the host's answer; nullopt if the order
    /// has to be sent again.
    std::optional<start_answer> resolve(start_answer answer) const
    {
        const bool conclusive = answer == start_answer::started ||
                                answer == start_answer::other_incarnation;
        if (answer == start_answer::unknown || (has_unanswered_ && !conclusive))
            return std::nullopt;
        return answer;
    }

    /// The result when no further attempt is made.
    start_answer final_answer() const
    {
        return has_unanswered_ ? start_answer::unknown : start_answer::refused;
    }

private:
    bool has_unanswered_ = false;
};

} // namespace dandeliontack
