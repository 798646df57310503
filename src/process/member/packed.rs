//! Serde encoding of socket addresses as byte strings: an IPv4 or IPv6 address of
//! 4 or 16 bytes, followed by the port in big-endian order.

#![warn(clippy::arithmetic_side_effects, clippy::indexing_slicing)]

use std::net::{
    IpAddr,
    Ipv4Addr,
    Ipv6Addr,
    SocketAddr, //
};

use serde::{
    Deserialize,
    Deserializer,
    Serializer,
    de::Error, //
};

/// Length of an address in bytes, without the port.
const IPV4_LEN: usize = 4;
const IPV6_LEN: usize = 16;

pub(super) fn serialize<S: Serializer>(
    address: &SocketAddr,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut bytes = match address.ip() {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    serializer.serialize_bytes(&bytes)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<SocketAddr, D::Error> {
    let bytes = serde_bytes::ByteBuf::deserialize(deserializer)?;
    let (host, port) = bytes
        .split_last_chunk::<2>()
        .ok_or_else(|| D::Error::custom("packed address has no port"))?;
    let ip = match host.len() {
        IPV4_LEN => <[u8; IPV4_LEN]>::try_from(host).map(|octets| Ipv4Addr::from(octets).into()),
        IPV6_LEN => <[u8; IPV6_LEN]>::try_from(host).map(|octets| Ipv6Addr::from(octets).into()),
        _ => return Err(D::Error::custom("packed address is neither IPv4 nor IPv6")),
    };
    let ip: IpAddr = ip.map_err(D::Error::custom)?;
    Ok(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}
