#include "codecs.hpp"
#include <dandeliontack/record_codec.hpp>

#include <algorithm>
#include <utility>

namespace dandeliontack
{

namespace
{

void encode_order(const operators_ordered& e, wire::record& out)
{
    out.mutable_ordered()->set_end(e.end);
}
// A malformed record is never written.
void encode_order(const record_malformed&, wire::record&) {}
void encode_order(const snapshot_chunk& e, wire::record& out)
{
    auto& to = *out.mutable_chunk();
    to.set_system_end(e.system_end);
    to.set_operators_end(e.operators_end);
    to.set_state_hash(e.state_hash);
    to.set_index(e.index);
    to.set_count(e.count);
    to.set_checksum(e.checksum);
    to.set_data(e.data);
}

snapshot_chunk decode_chunk(const wire::snapshot_chunk& in, findings& found)
{
    if (in.index() >= in.count())
        found.push_back({"", 0, "index", "is not below count"});
    return {in.system_end(), in.operators_end(), in.state_hash(), in.index(),
            in.count(),      in.checksum(),      in.data()};
}

void encode_body(const order_event& e, wire::record& out)
{
    std::visit([&](const auto& one) { encode_order(one, out); }, e);
}
void encode_body(const config_event& e, wire::record& out)
{
    encode(e, *out.mutable_config());
}
void encode_body(const membership_event& e, wire::record& out)
{
    encode(e, *out.mutable_membership());
}
void encode_body(const fleet_event& e, wire::record& out)
{
    encode(e, *out.mutable_fleet());
}
void encode_body(const job_event& e, wire::record& out)
{
    encode(e, *out.mutable_job());
}

event_body decode_body(const wire::record& in, findings& found)
{
    switch (in.body_case())
    {
    case wire::record::kOrdered:
        return order_event{operators_ordered{in.ordered().end()}};
    case wire::record::kConfig:
        return decode(in.config(), found);
    case wire::record::kMembership:
        return decode(in.membership(), found);
    case wire::record::kFleet:
        return decode(in.fleet(), found);
    case wire::record::kJob:
        return decode(in.job(), found);
    case wire::record::kChunk:
        return order_event{decode_chunk(in.chunk(), found)};
    case wire::record::BODY_NOT_SET:
        break;
    }
    found.push_back({"", 0, "body", "is missing or of an unknown kind"});
    return order_event{record_malformed{}};
}

std::string place_of(log_stream stream, std::uint64_t offset)
{
    const std::string name =
        stream == log_stream::operators ? "operators" : "system";
    return name + "@" + std::to_string(offset);
}

// Only configuration may come on the operators' stream, and only there.
void check_stream(log_stream stream, const wire::record& in, findings& found)
{
    const bool config = in.body_case() == wire::record::kConfig;
    if (config != (stream == log_stream::operators))
        found.push_back(
            {"", 0, "body", "is of a kind that this stream does not carry"});
}

void check_writer(const wire::record& in, findings& found)
{
    if (in.incarnation_high() == 0 && in.incarnation_low() == 0)
        found.push_back({"", 0, "incarnation", "is missing"});
    if (in.sequence() == 0)
        found.push_back({"", 0, "sequence", "is missing"});
}

} // namespace

std::string encode_record(const event& e)
{
    wire::record out;
    out.set_incarnation_high(e.origin.writer.high);
    out.set_incarnation_low(e.origin.writer.low);
    out.set_sequence(e.origin.sequence);
    out.set_term(e.origin.term);
    out.set_written_ms(e.time.time_since_epoch().count());
    std::visit([&](const auto& body) { encode_body(body, out); }, e.body);
    return out.SerializeAsString();
}

event decode_record(
    log_stream stream, std::uint64_t offset, std::string_view bytes)
{
    event e;
    e.origin.stream = stream;
    e.origin.offset = offset;
    findings found;
    wire::record in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        found.push_back({"", 0, "", "is not a record"});
    else
    {
        e.origin.writer = {in.incarnation_high(), in.incarnation_low()};
        e.origin.sequence = in.sequence();
        e.origin.term = in.term();
        e.time = std::chrono::sys_time<std::chrono::milliseconds>(
            std::chrono::milliseconds(in.written_ms()));
        check_writer(in, found);
        check_stream(stream, in, found);
        e.body = decode_body(in, found);
    }
    if (found.empty())
        return e;
    for (auto& item : found)
        item.file = place_of(stream, offset);
    e.body = order_event{record_malformed{std::move(found)}};
    return e;
}

} // namespace dandeliontack
