#include <dandeliontack/leadership.hpp>

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace
{

template <class Kind>
const Kind* membership_of(const event& e)
{
    const auto* body = std::get_if<membership_event>(&e.body);
    return body ? std::get_if<Kind>(body) : nullptr;
}

} // namespace

leadership::leadership(const incarnation& self, const lease_settings& settings)
    : self_(self), settings_(settings)
{}

std::size_t leadership::rank(const state& s) const
{
    const auto& nodes = s.membership.nodes;
    return static_cast<std::size_t>(
        std::distance(nodes.begin(), nodes.find(self_)));
}

void leadership::note_own(const event& e, const state& s)
{
    const auto queued = pending_.find(e.origin.sequence);
    if (queued == pending_.end())
        return;
    const bool heartbeat = membership_of<node_heartbeat>(e) != nullptr;
    const bool claim = membership_of<term_claimed>(e) != nullptr;
    if ((heartbeat || claim) && s.membership.term.leader == self_)
        lease_end_ = std::max(
            lease_end_.value_or(instant{}), queued->second + settings_.lease);
    if (heartbeat)
        heartbeat_pending_ = false;
    if (claim)
        claim_pending_ = false;
    pending_.erase(queued);
}

void leadership::note_heard(const event& e, const state& s, instant now)
{
    const auto& membership = s.membership;
    const auto known = membership.nodes.find(e.origin.writer);
    if (known != membership.nodes.end() &&
        known->second.heard_at != heard_[known->first].at)
        heard_[known->first] = {known->second.heard_at, now};
    if (membership.term.heard_at != leader_heard_.at)
        leader_heard_ = {membership.term.heard_at, now};
    if (const auto* left = membership_of<node_left>(e))
    {
        expelled_.erase(left->node);
        if (!membership.nodes.contains(left->node))
            heard_.erase(left->node);
    }
}

void leadership::observe(const event& e, const state& s, instant now)
{
    if (e.origin.writer == self_)
        note_own(e, s);
    note_heard(e, s, now);
}

void leadership::loaded(const state& s, instant now)
{
    leader_heard_ = {s.membership.term.heard_at, now};
    heard_.clear();
    for (const auto& [node, known] : s.membership.nodes)
        heard_.emplace(node, heard{known.heard_at, now});
}

bool leadership::may_claim(const state& s, instant now) const
{
    const auto& term = s.membership.term;
    if (claim_pending_ || term.leader == self_)
        return false;
    const auto turn = settings_.takeover_step * rank(s);
    const bool vacant = term.leader == incarnation{};
    return now - leader_heard_.when >=
           turn + (vacant ? instant{} : settings_.takeover);
}

void leadership::add_expelled(
    const state& s, instant now, std::vector<membership_event>& out)
{
    for (const auto& [node, known] : s.membership.nodes)
    {
        // A member of a loaded snapshot counts as heard when first looked at.
        auto& last =
            heard_.try_emplace(node, heard{known.heard_at, now}).first->second;
        if (node == self_ || now - last.when < settings_.member_timeout)
            continue;
        if (expelled_.insert(node).second)
            out.emplace_back(node_left{node, known.heard_at});
    }
}

std::vector<membership_event> leadership::due(const state& s, instant now)
{
    std::vector<membership_event> out;
    if (!s.membership.nodes.contains(self_))
        return out;
    const bool beat_due =
        !last_heartbeat_ || now - *last_heartbeat_ >= settings_.heartbeat;
    if (beat_due && !heartbeat_pending_)
        out.emplace_back(
            node_heartbeat{s.order.system_end, s.order.operators_end});
    if (may_claim(s, now))
        out.emplace_back(term_claimed{
            s.membership.term.number + 1, s.membership.term.heard_at});
    if (holds(s, now))
        add_expelled(s, now, out);
    return out;
}

void leadership::proposed(
    const membership_event& e, std::uint64_t sequence, instant when)
{
    pending_.emplace(sequence, when);
    if (std::holds_alternative<node_heartbeat>(e))
    {
        heartbeat_pending_ = true;
        last_heartbeat_ = when;
    }
    if (std::holds_alternative<term_claimed>(e))
        claim_pending_ = true;
}

bool leadership::holds(const state& s, instant now) const
{
    return s.membership.term.leader == self_ && lease_end_ && now < *lease_end_;
}

} // namespace dandeliontack
