"""Base class for plain data classes with slots."""

__all__ = ["Record"]


class Record:
    """
    Base class for plain data with slots, which is compared and displayed by value.

    A subclass names its fields in ``__slots__`` and takes them in ``__init__``
    under the same names.

    Examples
    --------
    >>> class Point(Record):
    ...     __slots__ = ("x", "y")
    ...     def __init__(self, x, y):
    ...         self.x = x
    ...         self.y = y
    >>> Point(1, 2).replace(y=5)
    Point(x=1, y=5)
    """

    __slots__ = ()
    _field_names = ()

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        # Cached because each comparison and hash needs the names.
        cls._field_names = tuple(
            name
            for base in reversed(cls.__mro__)
            for name in getattr(base, "__slots__", ())
        )

    def fields(self):
        """
        List the slots of the class and its bases in the order of declaration.

        Returns
        -------
        list of str
        """
        return list(self._field_names)

    def replace(self, **changes):
        """
        Return a copy of the record with some fields changed.

        Parameters
        ----------
        **changes
            New values by field name.

        Returns
        -------
        Record
            A new record of the same class.
        """
        return type(self)(**{**self.as_dict(), **changes})

    def as_dict(self):
        """
        Return the values of the fields by name.

        Returns
        -------
        dict
            In the order of `fields`; nested records are not converted.
        """
        return {name: getattr(self, name) for name in self._field_names}

    def as_list(self):
        """
        Return the values of the fields in order.

        Returns
        -------
        list
            In the order of `fields`; nested records are not converted.
        """
        return [getattr(self, name) for name in self._field_names]

    def __eq__(self, other):
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name) for name in self._field_names
        )

    def __hash__(self):
        return hash(tuple(getattr(self, name) for name in self._field_names))

    def __repr__(self):
        shown = ", ".join(
            f"{name}={getattr(self, name)!r}" for name in self._field_names
        )
        return f"{type(self).__name__}({shown})"
