#pragma once

#include "hasher.hpp"
#include <dandeliontack/effect.hpp>
#include <dandeliontack/event.hpp>
#include <dandeliontack/state.hpp>

namespace dandeliontack
{

/// What a domain's function gets besides its event: the state, which it may
/// change, where the record stands, and the effects, which it may add to.
struct reduce_context
{
    state& current;
    const event& cause;
    effects& todo;

    /// Notes that the record is not accepted, for the given reasons.
    void reject(findings found) const;
    /// The same with one reason, placed at the record's offset.
    void reject(const std::string& key, const std::string& message) const;
};

// One overload a domain, each in the file reduce_DOMAIN.cpp.
void apply(const reduce_context& context, const order_event& e);
void apply(const reduce_context& context, const config_event& e);
void apply(const reduce_context& context, const membership_event& e);
void apply(const reduce_context& context, const fleet_event& e);
void apply(const reduce_context& context, const job_event& e);

/// Whether a record is void because its writer does not hold the term that it
/// was written under, or because it is a leader's decision without a term.
bool is_fenced(const membership_state& s, const event& e);

// What a published value changes besides its being in force.
void adopt(const reduce_context& context, const pool_config& config);
void adopt(const reduce_context& context, const wave_config& config);
template <class Config>
void adopt(const reduce_context&, const Config&)
{}

// Feeds a part of the state to the hash; in the file of its domain.
void feed(hasher& h, const order_state& s);
void feed(hasher& h, const config_state& s);
void feed(hasher& h, const membership_state& s);
void feed(hasher& h, const fleet_state& s);
void feed(hasher& h, const job_state& s);
void feed(hasher& h, const incarnation& value);
void feed(hasher& h, const pool_config& config);
void feed(hasher& h, const service_config& config);
void feed(hasher& h, const wave_config& config);
void feed(hasher& h, const team_config& config);
void feed(hasher& h, const job_config& config);

} // namespace dandeliontack
