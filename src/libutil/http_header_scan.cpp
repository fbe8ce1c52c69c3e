#include <dandeliontack/http_header_scan.hpp>

namespace dandeliontack
{

header_scan scan_header(std::string_view bytes)
{
    for (std::size_t begin = 0;;)
    {
        const auto end = bytes.find('\n', begin);
        const auto line = bytes.substr(begin, end - begin);
        if (begin != 0 && (line.starts_with(' ') || line.starts_with('\t')))
            return header_scan::folded_line;
        if (end == std::string_view::npos)
            return header_scan::incomplete;
        if (!line.ends_with('\r'))
            return header_scan::bare_line_feed;
        if (line == "\r")
            return begin == 0 ? header_scan::empty_first_line
                              : header_scan::complete;
        begin = end + 1;
    }
}

} // namespace dandeliontack
