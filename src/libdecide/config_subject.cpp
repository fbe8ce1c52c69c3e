#include <dandeliontack/config_events.hpp>

namespace dandeliontack
{

std::string subject_of(const config_event& e)
{
    return std::visit(
        [](const auto& change) { return subject_of(change.config); }, e);
}

} // namespace dandeliontack
