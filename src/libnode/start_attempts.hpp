#pragma once

#include <dandeliontack/pool_events.hpp>

#include <optional>

namespace dandeliontack
{

/// What the tries of one start say together. Once a try was sent whose answer
/// did not come, the start may still be carried out: nothing but a run that is
/// there, or a host whose life has ended, settles it.
class start_attempts
{
public:
    /// A try was sent and brought no answer.
    void unanswered()
    {
        unclear_ = true;
    }

    /// What a host's answer settles; nothing where it is to be tried again.
    std::optional<start_answer> settle(start_answer answer) const
    {
        const bool certain = answer == start_answer::started ||
                             answer == start_answer::other_life;
        if (answer == start_answer::unknown || (unclear_ && !certain))
            return std::nullopt;
        return answer;
    }

    /// Nothing more is sent.
    start_answer give_up() const
    {
        return unclear_ ? start_answer::unknown : start_answer::refused;
    }

private:
    bool unclear_ = false;
};

} // namespace dandeliontack
