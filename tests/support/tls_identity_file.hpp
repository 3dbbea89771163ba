#pragma once

// A new self-signed certificate and its key, in PEM files that the destructor removes.

#include <string>

namespace savoryscale::test {

class tls_identity_file {
public:
    tls_identity_file();
    ~tls_identity_file();
    tls_identity_file(const tls_identity_file&) = delete;
    tls_identity_file& operator=(const tls_identity_file&) = delete;

    const std::string& certificate_file() const { return certificate_file_; }
    const std::string& key_file() const { return key_file_; }

private:
    std::string certificate_file_;
    std::string key_file_;
};

} // namespace savoryscale::test
