#pragma once

#include "record.pb.h"
#include <dandeliontack/event.hpp>
#include <dandeliontack/finding.hpp>

namespace dandeliontack
{

// One pair a domain, each in the file codec_DOMAIN.cpp. Decoding adds what it
// finds wrong to `found`, without a place.
void encode(const config_event& e, wire::config_record& out);
config_event decode(const wire::config_record& in, findings& found);
void encode(const membership_event& e, wire::membership_record& out);
membership_event decode(const wire::membership_record& in, findings& found);
void encode(const fleet_event& e, wire::fleet_record& out);
fleet_event decode(const wire::fleet_record& in, findings& found);
void encode(const job_event& e, wire::job_record& out);
job_event decode(const wire::job_record& in, findings& found);

// One pair a kind of configuration, each in the file config_KIND.cpp.
wire::pool_config to_wire(const pool_config& config);
pool_config from_wire(const wire::pool_config& in);
wire::service_config to_wire(const service_config& config);
service_config from_wire(const wire::service_config& in);
wire::wave_config to_wire(const wave_config& config);
wave_config from_wire(const wire::wave_config& in);
wire::team_config to_wire(const team_config& config);
team_config from_wire(const wire::team_config& in);
wire::job_config to_wire(const job_config& config);
job_config from_wire(const wire::job_config& in);
wire::job_size to_wire(const job_size& size);
job_size from_wire(const wire::job_size& in);

} // namespace dandeliontack
