#include <dandeliontack/wave_policy.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace dandeliontack
{

namespace
{

constexpr std::uint64_t no_limit = std::numeric_limits<std::uint64_t>::max();

std::uint64_t widening_limit(const wave_view& wave)
{
    return wave.done < wave.canary_hosts ? wave.canary_hosts - wave.done
                                         : 2 * wave.done;
}

constexpr std::array policies{
    wave_policy{widening_limit, [](std::uint64_t) { return no_limit; }, true},
    wave_policy{
        [](const wave_view&) { return std::uint64_t{1}; },
        [](std::uint64_t) { return std::uint64_t{1}; }},
    wave_policy{
        [](const wave_view&) { return no_limit; },
        [](std::uint64_t members) {
            return std::max<std::uint64_t>(members / 10, 1);
        }}};

using hours = std::chrono::duration<double, std::ratio<3600>>;

double objective(
    const wave_config& wave, const lending_terms& terms, std::uint64_t borrowed)
{
    const auto rate = terms.slack + static_cast<std::int64_t>(borrowed);
    if (rate <= 0)
        return std::numeric_limits<double>::infinity();
    const auto at_once =
        std::min(static_cast<std::uint64_t>(rate), terms.most_at_once);
    const auto rounds = (terms.left + at_once - 1) / at_once;
    const auto time = hours(terms.cycle).count() * static_cast<double>(rounds);
    const auto lent = static_cast<double>(borrowed);
    // A borrowed host moves twice: there and back.
    return wave.weight_rollout * time + wave.weight_buffer * lent * time +
           wave.weight_moves * 2 * lent;
}

} // namespace

const wave_policy& policy_of(wave_policy_kind kind)
{
    return policies.at(static_cast<std::size_t>(kind));
}

std::uint64_t
hosts_to_borrow(const wave_config& wave, const lending_terms& terms)
{
    if (terms.left == 0)
        return 0;
    const auto needed =
        static_cast<std::uint64_t>(std::max<std::int64_t>(1 - terms.slack, 0));
    auto best = needed;
    for (auto count = needed; count <= needed + terms.most_at_once; ++count)
        if (objective(wave, terms, count) < objective(wave, terms, best))
            best = count;
    return best;
}

} // namespace dandeliontack
