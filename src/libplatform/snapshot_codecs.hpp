#pragma once

#include "snapshot.pb.h"
#include <dandeliontack/state.hpp>

namespace dandeliontack
{

// One pair a domain, each in the file snapshot_DOMAIN.cpp. Every field that is
// fed to the hash must be encoded; a snapshot whose state does not come back
// with its hash is not used.
void encode(const order_state& s, wire::order_snapshot& out);
order_state decode(const wire::order_snapshot& in);
void encode(const config_state& s, wire::config_snapshot& out);
config_state decode(const wire::config_snapshot& in);
void encode(const membership_state& s, wire::membership_snapshot& out);
membership_state decode(const wire::membership_snapshot& in);
void encode(const fleet_state& s, wire::fleet_snapshot& out);
fleet_state decode(const wire::fleet_snapshot& in);
void encode(const job_state& s, wire::jobs_snapshot& out);
job_state decode(const wire::jobs_snapshot& in);

} // namespace dandeliontack
