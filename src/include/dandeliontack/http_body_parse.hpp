#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace dandeliontack
{

/// Lets the parser take from the buffer what it can. Unlike
/// `http::async_read_some`, which reads on while the line of a chunk is
/// incomplete, it leaves the reading to the caller.
template <class Parser>
boost::beast::error_code
parse_buffered(boost::beast::flat_buffer& buffer, Parser& parser)
{
    boost::beast::error_code ec;
    while (!ec && buffer.size() != 0 && !parser.is_done())
        buffer.consume(parser.put(buffer.data(), ec));
    if (ec == boost::beast::http::error::need_more)
        ec = {};
    return ec;
}

} // namespace dandeliontack
