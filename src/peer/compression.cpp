#include "peer/compression.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace savoryscale::peer {

std::string compress(const std::string& plain)
{
    std::string compressed;
    google::protobuf::io::StringOutputStream sink{&compressed};
    google::protobuf::io::GzipOutputStream::Options options;
    options.format = google::protobuf::io::GzipOutputStream::ZLIB;
    google::protobuf::io::GzipOutputStream stream{&sink, options};
    {
        google::protobuf::io::CodedOutputStream writer{&stream};
        writer.WriteString(plain);
    }
    stream.Close();
    return compressed;
}

std::optional<std::string> decompress(const std::string& compressed, std::size_t plain_bytes)
{
    google::protobuf::io::ArrayInputStream source{compressed.data(),
                                                  static_cast<int>(compressed.size())};
    google::protobuf::io::GzipInputStream stream{&source,
                                                 google::protobuf::io::GzipInputStream::ZLIB};
    google::protobuf::io::CodedInputStream reader{&stream};
    std::string plain;
    if (!reader.ReadString(&plain, static_cast<int>(plain_bytes))) {
        return {};
    }
    return plain;
}

} // namespace savoryscale::peer
