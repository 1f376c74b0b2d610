package cmds

import (
	"fmt"
	"net/netip"
	"strings"

	"endiveroute.example/endive"
)

// intervalValue is a flag value of a positive duration such as "2s".
type intervalValue struct {
	*endive.Interval
}

// Set implements kingpin.Value.
func (v intervalValue) Set(text string) error {
	if err := v.UnmarshalText([]byte(text)); err != nil || *v.Interval <= 0 {
		return fmt.Errorf(`%q is not a duration; write it like "2s" or "800ms"`, text)
	}
	return nil
}

// addressesValue is a flag value of addresses, separated by commas or given several
// times.
type addressesValue struct {
	list *[]endive.Address
}

// Set implements kingpin.Value.
func (v addressesValue) Set(text string) error {
	for _, one := range strings.Split(text, ",") {
		if _, err := netip.ParseAddrPort(one); err != nil {
			return fmt.Errorf(`%q is not an address; write an IP address with a port, like "127.0.0.1:8201"`, one)
		}
		*v.list = append(*v.list, endive.Address(one))
	}
	return nil
}

// String implements kingpin.Value.
func (v addressesValue) String() string { return fmt.Sprint(*v.list) }

// IsCumulative implements kingpin's cumulative values: the flag can be given several
// times.
func (v addressesValue) IsCumulative() bool { return true }

// fileValue is a flag value of a file name, with "-" for standard input.
type fileValue struct {
	name *string
}

// Set implements kingpin.Value. kingpin passes a lone "-" as "".
func (v fileValue) Set(text string) error {
	*v.name = text
	if text == "" {
		*v.name = "-"
	}
	return nil
}

// String implements kingpin.Value.
func (v fileValue) String() string { return *v.name }
