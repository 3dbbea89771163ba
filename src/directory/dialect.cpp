#include "directory/dialect.hpp"

namespace savoryscale::directory {

namespace {

const dialect* installed = nullptr;

} // namespace

void install_dialect(const dialect& spoken)
{
    installed = &spoken;
}

const dialect* installed_dialect()
{
    return installed;
}

} // namespace savoryscale::directory
