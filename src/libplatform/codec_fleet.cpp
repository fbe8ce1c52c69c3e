#include "codecs.hpp"

namespace dandeliontack
{

void encode(const fleet_event& e, wire::fleet_record& out)
{
    const auto& seen = std::get<host_observed>(e);
    auto& to = *out.mutable_observed();
    to.set_host(seen.host);
    to.set_listed(static_cast<std::uint32_t>(seen.listed));
    to.set_data_centre(seen.data_centre);
    to.set_rack(seen.rack);
    to.set_processors(seen.processors);
    to.set_memory_mb(seen.memory_mb);
    to.set_accelerators(seen.accelerators);
}

fleet_event decode(const wire::fleet_record& in, findings& found)
{
    if (!in.has_observed())
        found.push_back({"", 0, "kind", "is missing or unknown"});
    const auto& from = in.observed();
    if (from.listed() > static_cast<std::uint32_t>(listing::gone))
        found.push_back({"", 0, "listed", "is not a known listing"});
    return host_observed{
        from.host(),        static_cast<listing>(from.listed()),
        from.data_centre(), from.rack(),
        from.processors(),  from.memory_mb(),
        from.accelerators()};
}

} // namespace dandeliontack
