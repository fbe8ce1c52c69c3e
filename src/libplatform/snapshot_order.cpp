#include "snapshot_codecs.hpp"

namespace dandeliontack
{

namespace
{

void encode_one(const rejection& from, wire::snapshot_rejection& out)
{
    out.set_stream(static_cast<std::uint32_t>(from.stream));
    out.set_offset(from.offset);
    out.set_incarnation_high(from.writer.high);
    out.set_incarnation_low(from.writer.low);
    for (const auto& item : from.found)
    {
        auto& to = *out.add_found();
        to.set_file(item.file);
        to.set_line(item.line);
        to.set_key(item.key);
        to.set_message(item.message);
    }
}

rejection decode_one(const wire::snapshot_rejection& in)
{
    rejection out{
        in.stream() == 0 ? log_stream::operators : log_stream::system,
        in.offset(),
        {in.incarnation_high(), in.incarnation_low()},
        {}};
    for (const auto& item : in.found())
        out.found.push_back(
            {item.file(), static_cast<unsigned>(item.line()), item.key(),
             item.message()});
    return out;
}

} // namespace

void encode(const order_state& s, wire::order_snapshot& out)
{
    out.set_system_end(s.system_end);
    out.set_operators_end(s.operators_end);
    out.set_records(s.records);
    for (const auto& [writer, mark] : s.writers)
    {
        auto& to = *out.add_writers();
        to.set_incarnation_high(writer.high);
        to.set_incarnation_low(writer.low);
        to.set_sequence(mark.sequence);
        to.set_seen(mark.seen);
    }
    for (const auto& item : s.rejections)
        encode_one(item, *out.add_rejections());
    out.set_snapshot_end(s.snapshot_end);
    out.set_chunk_writer_high(s.progress.writer.high);
    out.set_chunk_writer_low(s.progress.writer.low);
    out.set_chunk_system_end(s.progress.system_end);
    out.set_chunk_next(s.progress.next_index);
}

order_state decode(const wire::order_snapshot& in)
{
    order_state s;
    s.system_end = in.system_end();
    s.operators_end = in.operators_end();
    s.records = in.records();
    for (const auto& from : in.writers())
        s.writers.insert_or_assign(
            {from.incarnation_high(), from.incarnation_low()},
            order_state::writer_mark{from.sequence(), from.seen()});
    for (const auto& item : in.rejections())
        s.rejections.push_back(decode_one(item));
    s.snapshot_end = in.snapshot_end();
    s.progress = {
        {in.chunk_writer_high(), in.chunk_writer_low()},
        in.chunk_system_end(),
        in.chunk_next()};
    return s;
}

} // namespace dandeliontack
