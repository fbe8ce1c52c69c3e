#include "codecs.hpp"
#include "config_kind.hpp"

#include <algorithm>
#include <iterator>

namespace dandeliontack
{

namespace
{

constexpr std::size_t longest_name = 64;

bool is_name(const std::string& text)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyz0123456789-_.";
    return !text.empty() && text.size() <= longest_name &&
           text.find_first_not_of(allowed) == std::string::npos;
}

void set_subject(const pool_config& config, wire::config_record& out)
{
    *out.mutable_pool() = to_wire(config);
}
void set_subject(const service_config& config, wire::config_record& out)
{
    *out.mutable_service() = to_wire(config);
}
void set_subject(const wave_config& config, wire::config_record& out)
{
    *out.mutable_wave() = to_wire(config);
}
void set_subject(const team_config& config, wire::config_record& out)
{
    *out.mutable_team() = to_wire(config);
}
void set_subject(const job_config& config, wire::config_record& out)
{
    *out.mutable_job() = to_wire(config);
}

template <class Config>
config_event
checked_event(const wire::config_record& in, Config config, findings& found)
{
    std::ranges::move(check(config), std::back_inserter(found));
    return published<Config>{in.publisher(), in.base(), std::move(config)};
}

} // namespace

void check_name(
    const std::string& subject, const std::string& what,
    const std::string& name, findings& found)
{
    if (!is_name(name))
        found.push_back(
            {"", 0, subject,
             what + " must be 1 to 64 of a-z, 0-9, '-', '_' and '.'"});
}

void encode(const config_event& e, wire::config_record& out)
{
    std::visit(
        [&](const auto& change) {
            out.set_publisher(change.publisher);
            out.set_base(change.base);
            set_subject(change.config, out);
        },
        e);
}

config_event decode(const wire::config_record& in, findings& found)
{
    switch (in.subject_case())
    {
    case wire::config_record::kPool:
        return checked_event(in, from_wire(in.pool()), found);
    case wire::config_record::kService:
        return checked_event(in, from_wire(in.service()), found);
    case wire::config_record::kWave:
        return checked_event(in, from_wire(in.wave()), found);
    case wire::config_record::kTeam:
        return checked_event(in, from_wire(in.team()), found);
    case wire::config_record::kJob:
        return checked_event(in, from_wire(in.job()), found);
    case wire::config_record::SUBJECT_NOT_SET:
        break;
    }
    found.push_back({"", 0, "subject", "is missing or of an unknown kind"});
    return pool_published{};
}

} // namespace dandeliontack
