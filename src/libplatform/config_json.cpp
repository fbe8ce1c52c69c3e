#include "codecs.hpp"
#include <dandeliontack/config_json.hpp>

#include <google/protobuf/util/json_util.h>

namespace dandeliontack
{

namespace
{

template <class Config>
std::string render(const Config& config)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    std::string text;
    // A message that was just made from checked values is always rendered.
    const auto status = google::protobuf::util::MessageToJsonString(
        to_wire(config), &text, options);
    return status.ok() ? text : "{}";
}

} // namespace

std::string to_json_text(const pool_config& config)
{
    return render(config);
}

std::string to_json_text(const service_config& config)
{
    return render(config);
}

std::string to_json_text(const wave_config& config)
{
    return render(config);
}

std::string to_json_text(const team_config& config)
{
    return render(config);
}

std::string to_json_text(const job_config& config)
{
    return render(config);
}

std::string to_json_text(const config_event& e)
{
    return std::visit(
        [](const auto& change) { return render(change.config); }, e);
}

} // namespace dandeliontack
