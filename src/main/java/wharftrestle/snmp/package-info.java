/** The SNMP agent: version 2c, read-only; serves what mib/WHARFTRESTLE-MIB.txt describes. */
package wharftrestle.snmp;
